//! The trail of a job through this planner: one debug line for each thing heard of it and done about it. Read with
//! `BURLHOOK_LOG=burlhook::trail=debug`, and by the job's id (16 hex digits) through all planners that touched it.

use super::platform::node::uid;
use crate::placer::{ListKind, MachineId, Standing};
use crate::state::{Core, Effect, Input};

const TARGET: &str = "burlhook::trail";

/// Whether anybody reads the trail.
pub fn is_on() -> bool {
    tracing::enabled!(target: TARGET, tracing::Level::DEBUG)
}

/// What was heard.
pub fn heard(core: &Core, input: &Input) {
    let name = |machine: &MachineId| core.name(*machine);
    match input {
        Input::List { kind, notices } => {
            // A whole list would push everything else out of a log of bounded size.
            if *kind != ListKind::Changes {
                tracing::debug!(target: TARGET, machines = notices.len(), ?kind, "whole list");
            }
            for n in notices.iter().filter(|n| n.entry.standing != Standing::Ready) {
                let (e, at) = (&n.entry, &n.address);
                let (machine, standing, started) = (name(&e.machine), e.standing, e.started);
                tracing::debug!(target: TARGET, machine, ?standing, started, %at, ?kind, "list");
            }
        }
        Input::Submit(ask) => {
            let (key, id) = (&ask.spec.name, uid(ask.job));
            tracing::debug!(target: TARGET, job = id, class = ask.spec.class, task = %key, "submitted");
        }
        Input::Adopt { ask, machine } => {
            let (key, id) = (&ask.spec.name, uid(ask.job));
            tracing::debug!(target: TARGET, job = id, task = %key, machine = name(machine), "adopted");
        }
        Input::Cancel { job, cause } => {
            tracing::debug!(target: TARGET, job = uid(*job), cause, "given up by its owner");
        }
        Input::Sent { job, attempt } => {
            tracing::debug!(target: TARGET, job = uid(*job), attempt, "left");
        }
        Input::Bound { machine, job, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), "answered");
        }
        Input::Ended { machine, job, before, after, why, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), ?before, ?after, ?why, "ended");
        }
        Input::Heard { machine, ask } => {
            tracing::debug!(target: TARGET, machine = name(machine), ask, "heard");
        }
        Input::DialFailed { machine }
        | Input::DialRefused { machine, .. }
        | Input::LinkBroken { machine, .. }
        | Input::LinkUp { machine }
        | Input::MachineLost { machine, .. } => {
            tracing::debug!(target: TARGET, machine = name(machine), ?input, "link");
        }
        Input::Departed { departure, proved } => {
            tracing::debug!(target: TARGET, departure, proved, "a machine that left ended its connection");
        }
        Input::OwnerGone { link } => tracing::debug!(target: TARGET, link, "owner gone"),
        _ => {}
    }
}

/// What is done about it.
pub fn done(core: &Core, effect: &Effect) {
    let name = |machine: &MachineId| core.name(*machine);
    match effect {
        Effect::Launch { machine, job, attempt, left_s, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), attempt, left_s, "offered");
        }
        Effect::GiveUp { machine, job } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), "taken back");
        }
        Effect::AttemptOver { job, machine, attempt, outcome, why, unheard } => {
            let (job, machine) = (uid(*job), name(machine));
            tracing::debug!(target: TARGET, job, machine, attempt, ?outcome, ?why, unheard, "attempt over");
        }
        Effect::Disconnect { machine, departure } => {
            tracing::debug!(target: TARGET, machine = name(machine), departure, "disconnected");
        }
        Effect::Ask { machine, ask } => {
            tracing::debug!(target: TARGET, machine = name(machine), ask, "asked")
        }
        Effect::Probe { machine } => tracing::debug!(target: TARGET, machine = name(machine), "probed"),
        Effect::Stop { machine, job, cause } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), cause, "cut");
        }
        Effect::Placed { job, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), "placed")
        }
        Effect::Refused { job, why, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), ?why, "refused");
        }
        Effect::Failed { job, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), "failed")
        }
        Effect::Released { job, outcome, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), ?outcome, "released");
        }
        _ => {}
    }
}
