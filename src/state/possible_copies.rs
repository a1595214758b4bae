//! Copies that may run although their jobs are over, as no machine has confirmed their end.
//!
//! - An id of which a copy may run is not sent again: no machine could tell the two apart.
//! - A key of the REST API of which a copy may run starts no other copy: the node that holds the first one may be out
//!   of reach, and the others drop repeats for a limited time only.
//!
//! A copy is proved gone by a [`CopyEnd`](crate::decide::machine_loss::CopyEnd). What is never proved is forgotten after
//! [`RETENTION_S`].

use crate::placer::{MachineId, RequestId, Seconds};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Count. Most ids without a key that are kept, the newest ones, at about 100 bytes each.
pub(super) const MAX_UNKEYED: usize = 4096;
/// Count. Keyed copies from which on no job with a key is taken: their records are never dropped to make room, as that
/// would free their keys.
pub(super) const MAX_KEYED: usize = 4096;
/// Seconds for which a copy that is not proved gone is kept.
pub(super) const RETENTION_S: Seconds = 3600.0;

/// The class and the idempotency key of a job.
pub(super) type ClassAndKey = (String, String);

/// How the end of a copy at a machine is going to be confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// By the answer to the connection check with this number.
    Fence(u64),
    /// By the machine's own report; no check is under way.
    Report,
}

/// A copy that may run at a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PossibleCopy {
    pub machine: MachineId,
    pub confirmation: Confirmation,
    /// The latest time at which the machine may have begun it.
    pub begun_by: Seconds,
}

/// The copies of one job.
struct Record {
    since: Seconds,
    /// The key, if it must not start another copy.
    key: Option<ClassAndKey>,
    machines: BTreeMap<MachineId, PossibleCopy>,
}

/// All copies that may run.
#[derive(Default)]
pub(super) struct PossibleCopies {
    records: BTreeMap<RequestId, Record>,
    /// The jobs of records without and with a key, oldest first; some may be gone.
    unkeyed: VecDeque<(Seconds, RequestId)>,
    keyed: VecDeque<(Seconds, RequestId)>,
    keys: BTreeMap<ClassAndKey, BTreeSet<RequestId>>,
}

impl PossibleCopies {
    /// Records that a copy may run at a machine.
    pub fn record(&mut self, now: Seconds, job: RequestId, key: Option<ClassAndKey>, copy: PossibleCopy) {
        self.expire(now);
        if !self.records.contains_key(&job) {
            let order = if key.is_some() { &mut self.keyed } else { &mut self.unkeyed };
            order.push_back((now, job));
            if let Some(key) = &key {
                self.keys.entry(key.clone()).or_default().insert(job);
            }
            self.records.insert(job, Record { since: now, key, machines: BTreeMap::new() });
        }
        if let Some(record) = self.records.get_mut(&job) {
            record.machines.insert(copy.machine, copy);
        }
        while self.unkeyed.len() > MAX_UNKEYED {
            let oldest = self.unkeyed.pop_front();
            oldest.into_iter().for_each(|(_, oldest)| self.remove(oldest));
        }
    }

    /// Whether no further copy with a key may be risked, as too many are unconfirmed.
    pub fn is_full(&self) -> bool {
        self.keyed.len() >= MAX_KEYED
    }

    /// Forgets the copies that were kept for [`RETENTION_S`].
    fn expire(&mut self, now: Seconds) {
        for is_keyed in [false, true] {
            let order = |copies: &PossibleCopies| {
                let order = if is_keyed { &copies.keyed } else { &copies.unkeyed };
                order.front().copied().filter(|(since, _)| now >= since + RETENTION_S)
            };
            while let Some((since, oldest)) = order(self) {
                if self.records.get(&oldest).is_some_and(|record| record.since == since) {
                    self.remove(oldest);
                }
                let order = if is_keyed { &mut self.keyed } else { &mut self.unkeyed };
                order.retain(|entry| *entry != (since, oldest));
            }
        }
    }

    fn remove(&mut self, job: RequestId) {
        let Some(record) = self.records.remove(&job) else { return };
        let order = if record.key.is_some() { &mut self.keyed } else { &mut self.unkeyed };
        order.retain(|(_, other)| *other != job);
        if let Some(key) = record.key {
            let of_key = self.keys.entry(key.clone()).or_default();
            of_key.remove(&job);
            if of_key.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    /// Records that a machine's copy of a job has ended.
    pub fn prove_gone(&mut self, job: RequestId, machine: MachineId) {
        let Some(record) = self.records.get_mut(&job) else { return };
        record.machines.remove(&machine);
        if record.machines.is_empty() {
            self.remove(job);
        }
    }

    /// The jobs of which a copy that was begun by the given time may run at a machine.
    pub fn begun_at(&self, machine: MachineId, by: Seconds) -> impl Iterator<Item = RequestId> + '_ {
        let is_begun =
            move |record: &Record| record.machines.get(&machine).is_some_and(|copy| copy.begun_by <= by);
        self.records.iter().filter(move |(_, record)| is_begun(record)).map(|(&job, _)| job)
    }

    /// The jobs whose copies at a machine are proved gone by its answer to the connection check with this number.
    pub fn confirmed_by(&self, machine: MachineId, fence: u64) -> Vec<RequestId> {
        let is_confirmed = |record: &Record| match record.machines.get(&machine).map(|copy| copy.confirmation)
        {
            Some(Confirmation::Fence(own)) => own <= fence,
            Some(Confirmation::Report) | None => false,
        };
        self.records.iter().filter(|(_, record)| is_confirmed(record)).map(|(&job, _)| job).collect()
    }

    /// Sets how the end of a copy at a machine is going to be confirmed, if such a copy is recorded.
    pub fn confirm_by(&mut self, job: RequestId, machine: MachineId, confirmation: Confirmation) {
        if let Some(copy) = self.records.get_mut(&job).and_then(|record| record.machines.get_mut(&machine)) {
            copy.confirmation = confirmation;
        }
    }

    /// Records that a machine has a new connection: connection checks on the former one may never be answered.
    pub fn forget_fences(&mut self, machine: MachineId) {
        for record in self.records.values_mut() {
            if let Some(copy) = record.machines.get_mut(&machine) {
                copy.confirmation = Confirmation::Report;
            }
        }
    }

    /// Whether a copy of the job may still run at a machine.
    pub fn may_run_at(&self, job: RequestId, machine: MachineId) -> bool {
        self.records.get(&job).is_some_and(|record| record.machines.contains_key(&machine))
    }

    /// Whether a copy of the job may still run.
    pub fn may_run(&self, job: RequestId) -> bool {
        self.records.contains_key(&job)
    }

    /// Whether a copy with that key may still run.
    pub fn key_may_run(&mut self, now: Seconds, key: &ClassAndKey) -> bool {
        self.expire(now);
        self.keys.contains_key(key)
    }

    /// The jobs whose copies at a machine keep a key from being used.
    pub fn keyed_at(&self, machine: MachineId) -> impl Iterator<Item = RequestId> + '_ {
        self.keyed.iter().map(|(_, job)| *job).filter(move |job| self.may_run_at(*job, machine))
    }
}

#[cfg(test)]
mod tests;
