use super::client_connections::MAX_OWNER_ADDRESSES;
use super::*;
use crate::state::tests::core;
use crate::state::{JobSubmission, MachineNotice, Spec};
use std::time::Duration;

/// Bounds with queues that may hold 4,096 bytes each, and nothing beyond that.
fn bounds(owners: usize) -> Bounds {
    let queues = QueueBounds { reserve: 4096, shared: 0 };
    Bounds { owners, owner_queues: queues, machine_queues: queues, links: 9 }
}

fn hub(owners: usize) -> Arc<Hub> {
    Hub::new(core("repeatable"), bounds(owners), Arc::default()).0
}

fn open_owner_connection(inner: &mut Inner, now: Seconds) -> Option<u64> {
    inner.open_owner(now, IpAddr::from([127, 0, 0, 1])).map(|(id, _)| id)
}

/// A sink that takes so many bytes, then fails with a reset.
struct FailingSink(std::cell::Cell<usize>);

impl Sink for FailingSink {
    fn try_write_vectored(&self, slices: &[io::IoSlice<'_>]) -> io::Result<usize> {
        let all: usize = slices.iter().map(|s| s.len()).sum();
        match self.0.replace(0).min(all) {
            0 => Err(io::ErrorKind::ConnectionReset.into()),
            taken => Ok(taken),
        }
    }
}

/// A sink that takes nothing, as a socket whose far end does not read.
struct BlockedSink;

impl Sink for BlockedSink {
    fn try_write_vectored(&self, _: &[io::IoSlice<'_>]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }
}

/// A hub with a machine and a job whose set-up is queued for it; the job's deadline is `deadline_in_s` away.
fn hub_with_queued_job(effect: &str, deadline_in_s: Seconds) -> (Arc<Hub>, MachineId, u64) {
    let (hub, _wanted) = Hub::new(core(effect), bounds(9), Arc::default());
    let machine_id = hub.lock().core.vocabulary().machine("b");
    let entry = Entry {
        machine: machine_id,
        key: MachineKey(1),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: Some(0),
        standing: Standing::Ready,
        free: Room { cores: 9.0, memory: 18.0 },
        started: 0.0,
    };
    let notice = MachineNotice { entry, address: "a:1".into() };
    hub.apply(Input::List { kind: ListKind::Changes, notices: vec![notice] });
    let owner = open_owner_connection(&mut hub.lock(), 100.0).expect("the connection limit is not reached");
    let room = Room { cores: 1.0, memory: 1.0 };
    let (class, service, deadline) = (0, ServiceId(1), hub.now() + deadline_in_s);
    let limits = TaskLimits::default();
    let task = Task { class, tenant: None, service, room, deadline, expected_runtime_s: None, limits };
    let spec = Arc::new(Spec { class: "c".into(), body: "x".into(), ..Spec::default() });
    hub.apply(Input::Submit(JobSubmission { job: RequestId(1), owner: Owner::Link(owner), spec, task }));
    (hub, machine_id, owner)
}

/// Guards rule 2: a set-up that was written, completely or in part, before its connection broke during the
/// same write may have run. A task that must run at most once fails then, and is not retried.
#[test]
fn a_partly_written_set_up_counts_as_sent() {
    for taken in [0, 10, 1 << 20] {
        let (hub, machine_id, owner) = hub_with_queued_job("once", 5.0);
        let link_id = hub.lock().machine_links[&machine_id].link_id;
        let written =
            hub.flush_to_machine((machine_id, link_id, "a:1"), &FailingSink(taken.into()), &mut Vec::new());
        // After a complete write the error shows only at the next write.
        assert_eq!(written.is_err(), taken < 1 << 20);
        hub.lock().machine_links.get_mut(&machine_id).expect("a link").outbox.reset();
        hub.apply(Input::LinkBroken {
            machine: machine_id,
            end: crate::decide::machine_loss::ConnectionEnd::SeenByMachine,
        });
        let waits = !hub.lock().machine_links[&machine_id].outbox.is_empty();
        let answered = !hub.lock().owners[&owner].outbox.is_empty();
        assert_eq!((waits, answered), (taken == 0, taken > 0), "{taken} bytes written");
    }
}

/// Guards machines and the fleet's budgets against a process that was suspended between decision and write: a
/// set-up past its deadline is not written, although its alarm has not run yet.
#[test]
fn an_expired_set_up_is_not_written() {
    let (hub, machine_id, owner) = hub_with_queued_job("repeatable", 0.1);
    let link_id = hub.lock().machine_links[&machine_id].link_id;
    assert!(!hub.lock().machine_links[&machine_id].outbox.is_empty(), "it is queued");
    std::thread::sleep(Duration::from_millis(150));
    let failing_sink = FailingSink(0.into());
    let written = hub.flush_to_machine((machine_id, link_id, "a:1"), &failing_sink, &mut Vec::new());
    assert_eq!(written.expect("nothing is written"), Some(Written::All));
    assert!(!hub.lock().owners[&owner].outbox.is_empty(), "its owner is answered");
}

/// Guards ends of running tasks against a connection that closes before they are written: they go to another
/// connection of the same owner, or to the next one that is opened.
#[test]
fn an_unwritten_task_end_goes_to_another_connection() {
    for other in [true, false] {
        let hub = hub(9);
        let mut inner = hub.lock();
        let first = open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached");
        inner.reply(100.0, first, vec![1]);
        inner.write_to_owner(100.0, Owner::Link(first), vec![2], true);
        let second = other
            .then(|| open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached"));
        inner.close_owner(100.1, first);
        let second = second
            .or_else(|| open_owner_connection(&mut inner, 100.2))
            .expect("the connection limit is not reached");
        assert_eq!(inner.owners.get_mut(&second).expect("a link").outbox.take_reroutable(), [vec![2]]);
    }
}

/// Guards a request that has arrived but is not read yet: its connection counts as in use although no job is
/// open on it, and is not closed to make room for another.
#[tokio::test]
async fn a_connection_with_unread_bytes_is_not_closed() {
    let hub = hub(1);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut client = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("up");
    let (stream, _) = listener.accept().await.expect("a connection");
    let stream = Arc::new(stream);
    let mut inner = hub.lock();
    let first = open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached");
    inner.owners.get_mut(&first).expect("a link").stream = Some(stream.clone());
    assert!(!has_unread_bytes(&stream));
    io::Write::write_all(&mut client, &[0]).expect("written");
    while !has_unread_bytes(&stream) {
        std::thread::yield_now();
    }
    assert_eq!(open_owner_connection(&mut inner, 100.1), None);
    assert!(inner.owners.contains_key(&first));
}

/// Guards descriptors against owners that stay connected but are silent, idle, or do not read their answers.
#[test]
fn silent_idle_and_blocked_connections_are_closed() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let ids: Vec<u64> = (0..3).filter_map(|_| open_owner_connection(&mut inner, 100.0)).collect();
    let [silent, idle, unread] = ids[..] else { panic!("a connection was rejected below the limit") };
    inner.reply(100.0, idle, vec![]);
    inner.owners.get_mut(&idle).expect("a link").outbox.reset();
    inner.reply(100.0, unread, vec![0]);
    let link = inner.owners.get_mut(&unread).expect("a link");
    assert_eq!(link.write(100.0, &BlockedSink).expect("nothing breaks"), Written::Blocked);
    let close_reason = |now| [silent, idle, unread].map(|id| inner.close_reason(now, id).is_some());
    assert_eq!(close_reason(101.9), [false, false, false]);
    assert_eq!(close_reason(102.1), [true, false, false]);
    assert_eq!(close_reason(105.1), [true, false, true]);
    assert_eq!(close_reason(108.1), [true, true, true]);
}

/// Guards descriptors and memory against an owner that never reads while new answers for it keep coming: each of them
/// counted as a use of the connection.
#[test]
fn new_answers_do_not_keep_an_unread_connection_open() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let client = open_owner_connection(&mut inner, 100.0).expect("a connection");
    for at in 100..106 {
        let now = f64::from(at);
        assert_eq!(inner.close_reason(now, client), None, "at {now}");
        inner.reply(now, client, vec![0]);
        let link = inner.owners.get_mut(&client).expect("a link");
        link.write(now, &BlockedSink).expect("nothing breaks");
    }
    assert!(inner.close_reason(105.1, client).is_some());
}

/// Guards an owner that reads against the memory that another one's unread answers take: the connection that was
/// blocked for longer is closed, and the ends of running tasks on it are kept for the owner's next connection.
#[test]
fn the_unread_connection_makes_room_for_the_one_that_is_read() {
    let queues = QueueBounds { reserve: 200, shared: 2_000 };
    let bounds = Bounds { owner_queues: queues, ..bounds(9) };
    let hub = Hub::new(core("repeatable"), bounds, Arc::default()).0;
    let mut inner = hub.lock();
    let unread = inner.open_owner(100.0, IpAddr::from([127, 0, 0, 2])).expect("a connection").0;
    let read = inner.open_owner(100.0, IpAddr::from([127, 0, 0, 3])).expect("a connection").0;
    inner.write_to_owner(100.0, Owner::Link(unread), vec![7], true);
    inner.reply(100.0, unread, vec![0; 1_500]);
    let link = inner.owners.get_mut(&unread).expect("a link");
    link.write(100.0, &BlockedSink).expect("nothing breaks");
    inner.reply(101.0, read, vec![0; 1_500]);
    let is_closing = |inner: &Inner, id: u64| inner.owners[&id].closing.is_some();
    assert_eq!((is_closing(&inner, unread), is_closing(&inner, read)), (true, false));
    inner.close_owner(101.0, unread);
    let next = inner.open_owner(101.0, IpAddr::from([127, 0, 0, 2])).expect("a connection").0;
    assert_eq!(inner.owners.get_mut(&next).expect("a link").outbox.take_reroutable(), [vec![7]]);
}

/// Guards connections with open answers: at the limit of connections they are not closed to make room.
#[test]
fn a_connection_with_open_answers_is_not_closed_to_make_room() {
    let hub = hub(2);
    let mut inner = hub.lock();
    let first = open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached");
    inner.reply(100.0, first, vec![0]);
    let second = open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached");
    assert!(
        open_owner_connection(&mut inner, 100.0).is_some(),
        "the silent connection is closed to make room"
    );
    assert!(inner.owners.contains_key(&first) && !inner.owners.contains_key(&second));
    let ids: Vec<u64> = inner.owners.keys().copied().collect();
    ids.into_iter().for_each(|id| inner.reply(100.0, id, vec![0]));
    assert_eq!(open_owner_connection(&mut inner, 100.0), None);
}

/// A sink that takes everything.
#[derive(Default)]
struct RecordingSink(std::cell::RefCell<Vec<u8>>);

impl Sink for RecordingSink {
    fn try_write_vectored(&self, slices: &[io::IoSlice<'_>]) -> io::Result<usize> {
        let mut taken = self.0.borrow_mut();
        let before = taken.len();
        slices.iter().for_each(|slice| taken.extend_from_slice(slice));
        Ok(taken.len() - before)
    }
}

/// Guards machines against an outdated deadline: a set-up that was queued states the time that is left when
/// it is written.
#[test]
fn a_queued_set_up_states_the_remaining_time() {
    let (hub, machine_id, _) = hub_with_queued_job("repeatable", 1.0);
    let link_id = hub.lock().machine_links[&machine_id].link_id;
    std::thread::sleep(Duration::from_millis(250));
    let machine = RecordingSink::default();
    hub.flush_to_machine((machine_id, link_id, "a:1"), &machine, &mut Vec::new()).expect("it is written");
    let line: serde_json::Value = serde_json::from_slice(&machine.0.borrow()).expect("a set-up");
    let left_ms: u64 = line["meta"]["left"].as_str().expect("a time").parse().expect("a number");
    assert!((1..=750).contains(&left_ms), "{left_ms} ms left of 1000 after 250");
}

/// Guards against work for a client that has closed its connection: no attempt begins while the close is
/// unread.
#[tokio::test]
async fn no_attempt_starts_while_the_close_of_its_client_is_unread() {
    let (hub, machine_id, owner) = hub_with_queued_job("repeatable", 5.0);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("up");
    let (stream, _) = listener.accept().await.expect("a connection");
    let stream = Arc::new(stream);
    hub.lock().owners.get_mut(&owner).expect("a link").stream = Some(stream.clone());
    client.shutdown(std::net::Shutdown::Both).expect("closed");
    let has_ended =
        || matches!(socket2::SockRef::from(&*stream).peek(&mut [std::mem::MaybeUninit::uninit()]), Ok(0));
    while !has_ended() {
        std::thread::yield_now();
    }
    // Longer than a connection counts as read after its last read.
    std::thread::sleep(Duration::from_millis(100));
    let link_id = hub.lock().machine_links[&machine_id].link_id;
    let machine = RecordingSink::default();
    hub.flush_to_machine((machine_id, link_id, "a:1"), &machine, &mut Vec::new()).expect("nothing fails");
    assert!(machine.0.borrow().is_empty(), "an attempt began");
    hub.apply(Input::OwnerGone { link: owner });
    hub.flush_to_machine((machine_id, link_id, "a:1"), &machine, &mut Vec::new()).expect("nothing fails");
    assert!(machine.0.borrow().is_empty(), "an attempt began after its client's close was processed");
}

/// Guards a request that is arriving while its planner stops: the planner waits for the rest of it, for a
/// limited time.
#[test]
fn a_partial_request_delays_the_stop() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let client = open_owner_connection(&mut inner, 100.0).expect("the connection limit is not reached");
    assert!(inner.is_quiet(100.0));
    inner.owners.get_mut(&client).expect("a link").partial_at = Some(100.0);
    assert!(!inner.is_quiet(100.09));
    assert!(inner.is_quiet(100.2));
}

/// Guards against a deadline that is too late, for a request that was unread while the planner was busy: its
/// time counts from its earliest possible arrival, which is never before the connection was last read to the
/// end.
#[test]
fn an_unread_request_counts_from_its_earliest_arrival() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let client = open_owner_connection(&mut inner, hub.now()).expect("the connection limit is not reached");
    let link = |inner: &mut Inner, drained_at| {
        inner.owners.get_mut(&client).expect("a link").drained_at = drained_at
    };
    link(&mut inner, 0.0);
    assert!(hub.now() - hub.earliest_arrival(&inner, client) < 0.1, "no turn is known");
    hub.turns.unpark();
    hub.turns.park();
    hub.turns.unpark();
    std::thread::sleep(Duration::from_millis(120));
    let age = hub.now() - hub.earliest_arrival(&inner, client);
    assert!(age >= 0.12, "it counts from {age} s ago");
    let now = hub.now();
    link(&mut inner, now);
    assert!(hub.earliest_arrival(&inner, client) >= now);
}

/// Guards the end of a task against a crowd of connections: the address of the task's owner is kept as long as the
/// task runs, so that its release goes to that owner and to nobody else.
#[test]
fn a_crowd_does_not_make_the_owner_of_a_running_task_unknown() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let (own, other) = (IpAddr::from([127, 0, 0, 7]), IpAddr::from([127, 0, 0, 8]));
    let (owner, _) = inner.open_owner(100.0, own).expect("a connection");
    let room = Room { cores: 1.0, memory: 1.0 };
    let (class, service, deadline) = (0, ServiceId(1), 100.0);
    let limits = TaskLimits::default();
    let task = Task { class, tenant: None, service, room, deadline, expected_runtime_s: None, limits };
    let spec = Arc::new(Spec { class: "c".into(), ..Spec::default() });
    let machine = inner.core.vocabulary().machine("b");
    let ask = JobSubmission { job: RequestId(1), owner: Owner::Link(owner), spec, task };
    hub.apply_in(&mut inner, Input::Adopt { ask, machine });
    inner.close_owner(100.0, owner);
    for _ in 0..3 * MAX_OWNER_ADDRESSES {
        let (id, _) = inner.open_owner(100.0, other).expect("a connection");
        inner.close_owner(100.0, id);
    }
    assert!(
        inner.owner_addresses.len() <= MAX_OWNER_ADDRESSES + 1,
        "{} addresses",
        inner.owner_addresses.len()
    );
    let (returned, _) = inner.open_owner(100.0, own).expect("a connection");
    let (stranger, _) = inner.open_owner(100.0, other).expect("a connection");
    inner.write_to_owner(100.0, Owner::Link(owner), vec![1], true);
    let has_release = |inner: &Inner, id: u64| !inner.owners[&id].outbox.is_empty();
    assert_eq!((has_release(&inner, stranger), has_release(&inner, returned)), (false, true));
    // The address is forgotten with the task's end: two closed connections more than are kept.
    hub.apply_in(&mut inner, Input::OwnerRelease { link: returned, job: RequestId(1), cause: 16 });
    for _ in 0..MAX_OWNER_ADDRESSES {
        let (id, _) = inner.open_owner(100.0, other).expect("a connection");
        inner.close_owner(100.0, id);
    }
    assert!(!inner.owner_addresses.contains_key(&owner));
}

/// Guards memory against addresses that had to be kept beyond the usual number for a time: they are forgotten once
/// their connections have no jobs any more.
#[test]
fn addresses_kept_for_running_tasks_are_forgotten_with_them() {
    let hub = hub(9);
    let mut inner = hub.lock();
    let address = IpAddr::from([127, 0, 0, 8]);
    let unused_ids = 1 << 32;
    inner.owner_addresses.extend((0..2 * MAX_OWNER_ADDRESSES as u64).map(|n| (unused_ids + n, address)));
    inner.open_owner(100.0, address).expect("a connection");
    assert_eq!(inner.owner_addresses.len(), MAX_OWNER_ADDRESSES);
}
