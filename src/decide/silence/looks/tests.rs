//! Looks with those left out against looks at every point of the grid, on a clock of the test's own.

use super::super::{Dial, Step, Watch, LOOK_S, LOST_S};
use super::*;
use proptest::prelude::*;

/// Seconds. The clock's step; the grid's points lie on it, so that sums stay exact.
const TICK_S: Seconds = 1.0 / 64.0;

#[test]
fn a_look_is_due_with_what_it_may_find() {
    let now = 100.0;
    let nothing = Open::default();
    let mut refused = Watch::new(now);
    refused.dialled(now + 2.0, Dial::Refused, false);
    let fresh = Watch::new(now);
    let table = [
        // What is open, the watch, from when on a look may find something.
        (nothing, &fresh, None),
        (nothing, &refused, None),
        (Open { test_since: Some(now), ..nothing }, &fresh, Some(now + TEST_S)),
        (Open { half_line_since: Some(now), ..nothing }, &fresh, Some(now + HALF_LINE_S)),
        (Open { holds_tasks: true, ..nothing }, &fresh, Some(now + LOOK_S)),
        (Open { holds_tasks: true, ..nothing }, &refused, Some(now + LOOK_S)),
        (Open { is_short: true, ..nothing }, &fresh, Some(f64::NEG_INFINITY)),
        (
            Open { test_since: Some(now), half_line_since: Some(now + 0.75), ..nothing },
            &fresh,
            Some(now + TEST_S),
        ),
    ];
    for (open, watch, due) in table {
        assert_eq!(open.due(watch), due, "{open:?}");
    }
}

#[test]
fn the_grid_stands_while_looks_are_left_out() {
    let mut looks = Looks::new(0.125);
    let table = [
        // Now, due from, planned.
        (0.0, None, None),
        (0.0, Some(0.0), Some(0.125)),
        (0.0, Some(0.125), Some(0.125)),
        (0.0, Some(0.25), Some(0.375)),
        (3.0, None, None),
        (3.0, Some(0.25), Some(3.125)),
        (3.0, Some(f64::NEG_INFINITY), Some(3.125)),
        // Its time has come, and something that was heard meanwhile made it needless.
        (3.25, Some(4.0), Some(4.125)),
        (3.25, Some(3.0), Some(3.375)),
    ];
    for (now, due, planned) in table {
        assert_eq!(looks.plan(now, due), planned, "at {now}, due from {due:?}");
    }
}

#[test]
fn a_late_look_moves_the_grid() {
    let at = |late: Seconds| {
        let mut looks = Looks::new(1.0);
        assert_eq!(looks.plan(0.0, Some(0.0)), Some(1.0));
        assert_eq!(looks.plan(1.0 + late, Some(0.0)), Some(1.0), "it has only not come yet");
        looks.looked(1.0 + late);
        looks.plan(1.0 + late, Some(0.0))
    };
    assert_eq!((at(0.0), at(0.004), at(0.5)), (Some(1.25), Some(1.25), Some(1.75)));
}

/// Guards a planner of many machines: at rest it spends nothing on each of them.
#[test]
fn an_idle_connection_is_not_looked_at() {
    let looks_in = |open: Open| {
        let (mut looks, watch, mut count) = (Looks::new(0.125), Watch::new(0.0), 0);
        for tick in 0..64 * 60 {
            let now = f64::from(tick) * TICK_S;
            if looks.plan(now, open.due(&watch)).is_some_and(|at| at <= now) {
                looks.looked(now);
                count += 1;
            }
        }
        count
    };
    assert_eq!(looks_in(Open::default()), 0, "in a minute");
    assert_eq!(looks_in(Open { is_short: true, ..Open::default() }), 240, "four a second");
}

/// Something that happens on a connection.
#[derive(Clone, Copy, Debug)]
enum Act {
    Heard { of_task: bool, half_line: bool },
    Test(bool),
    Holds(bool),
    Short(bool),
}

/// What is done with a connection in a play.
struct Play {
    watch: Watch,
    open: Open,
    dials: usize,
    /// What its looks found, and when.
    found: Vec<(Seconds, Step, bool, bool)>,
}

impl Play {
    fn new() -> Play {
        Play { watch: Watch::new(0.0), open: Open::default(), dials: 0, found: Vec::new() }
    }

    fn act(&mut self, now: Seconds, act: Act) {
        match act {
            Act::Heard { of_task, half_line } => {
                self.watch.heard(now, of_task);
                self.open.half_line_since = half_line.then_some(now);
            }
            Act::Test(out) => self.open.test_since = out.then_some(now),
            Act::Holds(holds) => self.open.holds_tasks = holds,
            Act::Short(is_short) => self.open.is_short = is_short,
        }
    }

    /// A look; tells how long the dial that it asks for takes.
    fn look(&mut self, now: Seconds, dials: &[Dial]) -> Seconds {
        let (late, lost) = (self.open.is_test_late(now), self.open.is_line_lost(now));
        let mut took_s = 0.0;
        if late {
            self.open.test_since = None;
        }
        let mut step = self.watch.look(now, self.open.holds_tasks, 0.5);
        if step == Step::Dial {
            let dial = dials[self.dials % dials.len()];
            self.dials += 1;
            took_s = if dial == Dial::Silent { LOOK_EVERY_S } else { 0.0 };
            step = self.watch.dialled(now + took_s, dial, true);
            self.found.push((now, Step::Dial, false, false));
        }
        if step != Step::Wait || late || lost {
            self.found.push((now, step, late, lost));
        }
        took_s
    }
}

/// Plays a minute with a look at each point of the grid, or with those left out at which nothing can be due.
fn play(acts: &[(u32, Act)], dials: &[Dial], leaves_out: bool) -> (Play, usize) {
    let (mut play, mut looks, mut count) = (Play::new(), Looks::new(0.125), 0);
    let (mut busy_until, mut waiting) = (0.0, acts.iter().peekable());
    for tick in 0..64 * 60 {
        let now = f64::from(tick) * TICK_S;
        // While a dial is out nothing is read or written.
        if now < busy_until {
            continue;
        }
        while let Some((_, act)) = waiting.next_if(|(at, _)| *at <= tick) {
            play.act(now, *act);
        }
        let due = if leaves_out { play.open.due(&play.watch) } else { Some(f64::NEG_INFINITY) };
        if looks.plan(now, due).is_some_and(|at| at <= now) {
            looks.looked(now);
            count += 1;
            busy_until = now + play.look(now, dials);
        }
    }
    (play, count)
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => (any::<bool>(), any::<bool>())
            .prop_map(|(of_task, half_line)| Act::Heard { of_task, half_line }),
        2 => any::<bool>().prop_map(Act::Test),
        2 => any::<bool>().prop_map(Act::Holds),
        1 => any::<bool>().prop_map(Act::Short),
    ]
}

proptest! {
    #[test]
    fn what_is_left_out_would_have_found_nothing(
        acts in proptest::collection::vec((0u32..64 * 60, act()), 0..40),
        dials in proptest::collection::vec(
            prop_oneof![Just(Dial::Up), Just(Dial::Refused), Just(Dial::Silent), Just(Dial::Short)], 1..6),
    ) {
        let mut acts = acts;
        acts.sort_by_key(|(at, _)| *at);
        let ((all, every), (some, count)) = (play(&acts, &dials, false), play(&acts, &dials, true));
        prop_assert_eq!(all.found, some.found);
        prop_assert!(count <= every);
    }
}

/// Guards the silence watch over a machine that holds tasks: it is dialled, and given up, when it was before looks were
/// left out.
#[test]
fn a_silent_machine_with_tasks_is_dialled_in_time() {
    let (play, count) = play(&[(64, Act::Holds(true))], &[Dial::Refused], true);
    let times = |wanted: Step| play.found.iter().filter(move |f| f.1 == wanted).map(|f| f.0);
    assert_eq!(
        times(Step::Dial).next(),
        Some(1.125),
        "the first look more than {LOOK_S} s after the last sign"
    );
    assert_eq!(
        times(Step::Lost).next(),
        Some(6.625),
        "the first look {LOST_S} s after it last told of a task"
    );
    assert!(count < 240, "{count} looks");
}
