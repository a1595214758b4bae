//! Runs placers for the simulator: reads one batch of events per line of JSON, and writes one reply per
//! batch.

mod wire;

use burlhook::vocabulary::{self, Vocabulary};
use burlhook::{Action, End, Event, ListKind, MachineId, Placer, RequestId};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Arrival, Batch, Node, Out, Reply};

/// A hosted placer with the vocabulary of its settings.
struct Instance {
    placer: Placer,
    vocabulary: Vocabulary,
}

#[derive(Default)]
struct Host {
    lists: BTreeMap<u64, Vec<Node>>,
    instances: BTreeMap<u64, Instance>,
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("burlhook-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut last_turn = None;
    for line in input.lines() {
        let line = line.map_err(|e| format!("cannot read: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let batch: Batch = serde_json::from_str(&line).map_err(|e| describe(&line, last_turn, &e))?;
        last_turn = Some(batch.turn);
        let turn = batch.turn;
        let actions = host.answer(batch).map_err(|e| format!("batch {turn}: {e}"))?;
        serde_json::to_writer(&mut output, &Reply { turn, actions }).map_err(|e| e.to_string())?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

/// The error, preceded by the number of the batch that could not be parsed, or else of the last batch that
/// could.
fn describe(line: &str, last_turn: Option<u64>, error: &serde_json::Error) -> String {
    let turn = serde_json::from_str::<serde_json::Value>(line).ok().and_then(|v| v.get("turn")?.as_u64());
    match (turn, last_turn) {
        (Some(turn), _) => format!("batch {turn}: {error}"),
        (None, Some(last)) => format!("batch after {last}: {error}"),
        (None, None) => format!("first batch: {error}"),
    }
}

impl Host {
    fn answer(&mut self, batch: Batch) -> Result<Vec<Out>, String> {
        let now = batch.at_time_s;
        let mut replies = Vec::new();
        for (at, arrival) in batch.arrivals.into_iter().enumerate() {
            self.apply(now, arrival, &mut replies).map_err(|e| format!("arrival {at}: {e}"))?;
        }
        Ok(replies)
    }

    fn apply(&mut self, now: f64, arrival: Arrival, replies: &mut Vec<Out>) -> Result<(), String> {
        let who = match arrival {
            Arrival::DefineList { reference, nodes_list } => {
                self.lists.insert(reference, nodes_list);
                return Ok(());
            }
            Arrival::OpenInstance { who, nonce64, boot_info } => {
                let (settings, vocabulary) =
                    vocabulary::settings(&boot_info).map_err(|e| format!("boot_info: {e}"))?;
                let placer = Placer::new(settings, nonce64).map_err(|e| format!("boot_info: {e}"))?;
                self.instances.insert(who, Instance { placer, vocabulary });
                return Ok(());
            }
            Arrival::PowerOff { who } => {
                self.instances.remove(&who);
                return Ok(());
            }
            ref other => other.who(),
        };
        let instance = self.instances.get_mut(&who).ok_or_else(|| format!("field who: no instance {who}"))?;
        let Some(event) = translate(arrival, &self.lists, &mut instance.vocabulary)? else { return Ok(()) };
        let mut actions = Vec::new();
        instance.placer.handle(now, event, &mut actions);
        replies.extend(actions.into_iter().map(|action| to_reply(who, action, &instance.vocabulary)));
        Ok(())
    }
}

fn translate(
    arrival: Arrival,
    lists: &BTreeMap<u64, Vec<Node>>,
    vocabulary: &mut Vocabulary,
) -> Result<Option<Event>, String> {
    Ok(Some(match arrival {
        Arrival::Fleet { mode, reference, .. } => {
            let kind = wire::list_kind(&mode)?;
            let entries = if kind == ListKind::Failed {
                Vec::new()
            } else {
                let reference = reference.ok_or("missing field `ref`")?;
                let nodes = lists.get(&reference).ok_or_else(|| format!("field ref: no list {reference}"))?;
                nodes.iter().map(|node| wire::entry(vocabulary, node)).collect::<Result<_, _>>()?
            };
            Event::List { kind, entries }
        }
        Arrival::Submit { call, asked, .. } => {
            Event::Submitted { request: RequestId(call), task: wire::task(vocabulary, &asked)? }
        }
        Arrival::Resident { call, machine, asked, .. } => Event::Resident {
            request: RequestId(call),
            task: wire::task(vocabulary, &asked)?,
            machine: vocabulary.machine(&machine),
        },
        Arrival::CancelledByClient { call, .. } => Event::Withdrawn { request: RequestId(call) },
        Arrival::Seated { call, hop, rtt_s, .. } => {
            Event::Bound { request: RequestId(call), attempt: hop, took_s: rtt_s }
        }
        Arrival::Verdict { call, hop, code, info, finished, feedback, .. } => Event::Ended(End {
            request: RequestId(call),
            attempt: hop,
            outcome: wire::outcome(code)?,
            reason: wire::reason(info),
            finished,
            last: false,
            report: feedback.map(|values| vocabulary.report(&values)),
        }),
        Arrival::Signal { call, hop, what, amount, .. } => match wire::note(what, amount) {
            Some(note) => Event::Noted { request: RequestId(call), attempt: hop, note },
            None => return Ok(None),
        },
        Arrival::Health { code, machine, feedback, .. } => Event::Probed {
            machine: vocabulary.machine(&machine),
            outcome: wire::outcome(code)?,
            report: feedback.map(|values| vocabulary.report(&values)),
        },
        Arrival::Reminder { .. } => Event::Timer,
        Arrival::Memo { .. } => return Ok(None),
        Arrival::DefineList { .. } | Arrival::OpenInstance { .. } | Arrival::PowerOff { .. } => {
            return Ok(None)
        }
    }))
}

fn to_reply(who: u64, action: Action, vocabulary: &Vocabulary) -> Out {
    let name = |machine: MachineId| vocabulary.name(machine);
    match action {
        Action::Bind { request, machine, give_up_at } => {
            Out::Try { who, call: request.0, machine: name(machine), cut_at_s: give_up_at }
        }
        Action::Refuse { request, retry_in_s } => Out::Decline { who, call: request.0, retry_in_s },
        Action::Fail { request } => Out::Surrender { who, call: request.0 },
        Action::Probe { machine } => Out::Probe { who, machine: name(machine) },
        Action::Subscribe => Out::KeepInformed { who, want: true },
        Action::SetTimer { at } => Out::Timer { who, reference: 0, at_s: at },
        Action::Log(text) => Out::Emit { who, words: text },
    }
}
