//! The trace of a job through this planner: one debug event for each input and each effect that concerns it.
//! Enable it with `BURLHOOK_LOG=burlhook::trail=debug`; the job's id (16 hex digits) is the same in the logs
//! of all planners involved.

use super::platform::node::uid;
use crate::placer::{ListKind, MachineId, Standing};
use crate::state::{CopyGone, Core, Effect, Input};

const TARGET: &str = "burlhook::trail";

/// Whether the trail is enabled.
pub fn is_enabled() -> bool {
    tracing::enabled!(target: TARGET, tracing::Level::DEBUG)
}

/// Logs an input.
pub fn log_input(core: &Core, input: &Input) {
    let name = |machine: &MachineId| core.name(*machine);
    match input {
        Input::List { kind, notices } => {
            // The entries of a whole list would displace everything else from a log of limited size.
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
        Input::Cancel { job, cause } | Input::OwnerRelease { job, cause, .. } => {
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
        Input::FenceAnswered { machine, ask } => {
            tracing::debug!(target: TARGET, machine = name(machine), ask, "heard");
        }
        Input::DialFailed { machine }
        | Input::DialRefused { machine, .. }
        | Input::CloseAnswered { machine }
        | Input::LinkBroken { machine, .. }
        | Input::LinkUp { machine }
        | Input::MachineLost { machine } => {
            tracing::debug!(target: TARGET, machine = name(machine), ?input, "link");
        }
        Input::Departed { departure, end } => {
            tracing::debug!(target: TARGET, departure, ?end, "a machine that left ended its connection");
        }
        Input::OwnerGone { link } => tracing::debug!(target: TARGET, link, "owner gone"),
        _ => {}
    }
}

/// Logs an effect.
pub fn log_effect(core: &Core, effect: &Effect) {
    let name = |machine: &MachineId| core.name(*machine);
    match effect {
        Effect::Launch { machine, job, attempt, left_s, .. } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), attempt, left_s, "offered");
        }
        Effect::CancelAttempt { machine, job } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), "taken back");
        }
        Effect::AttemptOver { job, machine, attempt, outcome, why, unheard } => {
            let (job, machine) = (uid(*job), name(machine));
            tracing::debug!(target: TARGET, job, machine, attempt, ?outcome, ?why, unheard, "attempt over");
        }
        Effect::CopyGone(CopyGone { job, machine, end }) => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), ?end, "copy gone");
        }
        Effect::Disconnect { machine, departure } => {
            tracing::debug!(target: TARGET, machine = name(machine), departure, "disconnected");
        }
        Effect::KeepBack { machine, job, check } => {
            tracing::debug!(target: TARGET, job = uid(*job), machine = name(machine), check, "cancellation kept back");
        }
        Effect::SendCancellations { machine, jobs, check, .. } => {
            let machine = name(machine);
            for job in jobs {
                tracing::debug!(target: TARGET, job = uid(*job), machine, check, "cancellation sent");
            }
        }
        Effect::SendFence { machine, ask } => {
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
