//! Snapshots of jobs and machines for readers such as the REST API.

use super::*;

/// A job at one version.
#[derive(Clone, Debug)]
pub struct JobView {
    pub id: RequestId,
    pub spec: Arc<Spec>,
    pub room: Room,
    pub phase: Phase,
    pub machine: Option<String>,
    pub attempts: usize,
    pub deadline: Seconds,
    pub last: Option<(Outcome, Reason)>,
    /// The operators' limit that refused a further attempt.
    pub limit_rejection: Option<Rejection>,
    pub retry_in_s: Seconds,
    pub version: u64,
}

/// A machine at one version.
#[derive(Clone, Debug)]
pub struct MachineView {
    pub name: String,
    pub zone: String,
    pub cell: CellId,
    pub standing: Standing,
    pub free: Room,
    pub started: Seconds,
    pub version: u64,
}

/// The object of a change.
#[derive(Clone, Debug)]
pub enum Object {
    Job(Arc<JobView>),
    Machine(Arc<MachineView>),
    Group(Arc<GroupView>),
}

impl Core {
    /// A snapshot of one job.
    pub fn job_view_of(&self, id: RequestId) -> Option<JobView> {
        self.jobs.get(&id).map(|job| self.job_view(id, job))
    }

    /// A snapshot of a job that the caller holds; its last one if its record is forgotten.
    pub fn held_job_view(&self, id: RequestId) -> Option<JobView> {
        self.job_view_of(id).or_else(|| self.awaited.job(id))
    }

    /// A snapshot of a group that the caller holds; its last one if its record is forgotten.
    pub fn held_group_view(&self, id: GroupId) -> Option<GroupView> {
        self.group_view_of(id).or_else(|| self.awaited.group(id))
    }

    /// Snapshots of all jobs, sorted by their last change.
    pub fn job_views(&self) -> Vec<JobView> {
        let mut views: Vec<JobView> = self.jobs.iter().map(|(&id, job)| self.job_view(id, job)).collect();
        views.sort_by_key(|view| view.version);
        views
    }

    /// Snapshots of all machines, sorted by their last change.
    pub fn machine_views(&self) -> Vec<MachineView> {
        let mut views: Vec<MachineView> =
            self.nodes.iter().map(|(id, node)| self.machine_view(id, node)).collect();
        views.sort_by_key(|view| view.version);
        views
    }

    pub(super) fn job_view(&self, id: RequestId, job: &Job) -> JobView {
        JobView {
            id,
            spec: job.spec.clone(),
            room: job.task.room,
            phase: job.phase,
            machine: job.machine.map(|m| self.vocabulary.name(m)),
            attempts: job.attempts,
            deadline: job.task.deadline,
            last: job.last,
            limit_rejection: job.limit_rejection,
            retry_in_s: job.retry_in_s,
            version: job.version,
        }
    }

    pub(super) fn machine_view(&self, id: MachineId, node: &Node) -> MachineView {
        let entry = node.entry();
        MachineView {
            name: self.vocabulary.name(id),
            zone: self.vocabulary.zone_name(entry.zone),
            cell: entry.cell,
            standing: entry.standing,
            free: entry.free,
            started: entry.started,
            version: node.version,
        }
    }
}
