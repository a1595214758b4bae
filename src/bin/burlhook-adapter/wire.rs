//! The messages of the simulator's protocol, and their conversion to the placer's types. Nothing is decided
//! here.

use burlhook::vocabulary::{key, Vocabulary};
use burlhook::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Deserialize)]
pub struct Batch {
    pub at_time_s: f64,
    pub turn: u64,
    pub arrivals: Vec<Arrival>,
}

/// A task as an owner submits it.
#[derive(Deserialize)]
pub struct TaskSpec {
    qos: String,
    #[serde(default)]
    party: Option<Value>,
    #[serde(rename = "task")]
    _task: u64,
    expires_s: f64,
    life_s: Option<f64>,
    program: u64,
    cpu: f64,
    ram_units: f64,
}

#[derive(Deserialize)]
pub struct Node {
    machine: String,
    campus: String,
    class_of_host: String,
    #[serde(default)]
    spare_mem: f64,
    block: u64,
    lifecycle: String,
    #[serde(default)]
    open_cores: f64,
    #[serde(default)]
    launched_s: f64,
}

#[derive(Deserialize)]
#[serde(tag = "op")]
pub enum Arrival {
    #[serde(rename = "OPEN_INSTANCE")]
    OpenInstance { who: u64, nonce64: u64, boot_info: Value },
    #[serde(rename = "DEFINE_LIST")]
    DefineList {
        #[serde(rename = "ref")]
        reference: u64,
        nodes_list: Vec<Node>,
    },
    #[serde(rename = "FLEET")]
    Fleet {
        who: u64,
        mode: String,
        #[serde(rename = "ref")]
        reference: Option<u64>,
    },
    #[serde(rename = "SUBMIT")]
    Submit {
        who: u64,
        call: u64,
        #[serde(flatten)]
        asked: TaskSpec,
    },
    #[serde(rename = "CANCELLED_BY_CLIENT")]
    CancelledByClient { who: u64, call: u64 },
    #[serde(rename = "HEALTH")]
    Health { who: u64, code: u32, machine: String, feedback: Option<Vec<f64>> },
    #[serde(rename = "SIGNAL")]
    Signal {
        who: u64,
        call: u64,
        #[serde(default)]
        hop: usize,
        what: u32,
        #[serde(default)]
        amount: f64,
    },
    #[serde(rename = "REMINDER")]
    Reminder { who: u64 },
    #[serde(rename = "POWER_OFF")]
    PowerOff { who: u64 },
    #[serde(rename = "VERDICT")]
    Verdict {
        who: u64,
        call: u64,
        code: u32,
        #[serde(default)]
        info: u32,
        #[serde(default)]
        finished: bool,
        #[serde(default)]
        hop: usize,
        feedback: Option<Vec<f64>>,
    },
    #[serde(rename = "MEMO")]
    Memo { who: u64 },
    #[serde(rename = "SEATED")]
    Seated {
        who: u64,
        call: u64,
        #[serde(default)]
        hop: usize,
        rtt_s: f64,
    },
    #[serde(rename = "RESIDENT")]
    Resident {
        who: u64,
        call: u64,
        machine: String,
        #[serde(flatten)]
        asked: TaskSpec,
    },
}

impl Arrival {
    /// The instance that it is for; for a list definition, the list.
    pub fn who(&self) -> u64 {
        match *self {
            Arrival::OpenInstance { who, .. }
            | Arrival::Fleet { who, .. }
            | Arrival::Submit { who, .. }
            | Arrival::CancelledByClient { who, .. }
            | Arrival::Health { who, .. }
            | Arrival::Signal { who, .. }
            | Arrival::Reminder { who }
            | Arrival::PowerOff { who }
            | Arrival::Verdict { who, .. }
            | Arrival::Memo { who }
            | Arrival::Seated { who, .. }
            | Arrival::Resident { who, .. } => who,
            Arrival::DefineList { reference, .. } => reference,
        }
    }
}

#[derive(Serialize)]
pub struct Reply {
    pub turn: u64,
    #[serde(rename = "do")]
    pub actions: Vec<Out>,
}

#[derive(Serialize)]
#[serde(tag = "op")]
pub enum Out {
    #[serde(rename = "TRY")]
    Try { who: u64, call: u64, machine: String, cut_at_s: f64 },
    #[serde(rename = "DECLINE")]
    Decline { who: u64, call: u64, retry_in_s: f64 },
    #[serde(rename = "SURRENDER")]
    Surrender { who: u64, call: u64 },
    #[serde(rename = "SOUND_OUT")]
    Probe { who: u64, machine: String },
    #[serde(rename = "KEEP_INFORMED")]
    KeepInformed { who: u64, want: bool },
    #[serde(rename = "TIMER")]
    Timer {
        who: u64,
        #[serde(rename = "ref")]
        reference: u64,
        at_s: f64,
    },
    #[serde(rename = "EMIT")]
    Emit { who: u64, words: String },
}

/// Converts an owner's task.
pub fn task(vocabulary: &Vocabulary, asked: &TaskSpec) -> Result<Task, String> {
    let class = vocabulary.class(&asked.qos);
    let tenant = asked.party.as_ref().and_then(Value::as_str);
    Ok(Task {
        class: class.ok_or_else(|| format!("field qos: no class {:?}", asked.qos))?,
        tenant: tenant.and_then(|name| vocabulary.tenant(name)),
        service: ServiceId(asked.program),
        room: Room { cores: asked.cpu, memory: asked.ram_units },
        deadline: asked.expires_s,
        expected_runtime_s: asked.life_s,
        limits: burlhook::TaskLimits::default(),
    })
}

/// Converts an entry of a machine list.
pub fn entry(vocabulary: &mut Vocabulary, node: &Node) -> Result<Entry, String> {
    Ok(Entry {
        machine: vocabulary.machine(&node.machine),
        key: key(&node.machine),
        zone: vocabulary.zone(&node.campus),
        cell: CellId(node.block),
        kind: vocabulary.kind(&node.class_of_host),
        standing: match node.lifecycle.as_str() {
            "ready" => Standing::Ready,
            "draining" => Standing::Draining,
            "gone" => Standing::Gone,
            other => return Err(format!("field lifecycle: unknown {other:?}")),
        },
        free: Room { cores: node.open_cores, memory: node.spare_mem },
        started: node.launched_s,
    })
}

pub fn list_kind(mode: &str) -> Result<ListKind, String> {
    Ok(match mode {
        "Partial" => ListKind::Changes,
        "Complete" => ListKind::Whole,
        "Persisted" => ListKind::Persisted,
        "Error" => ListKind::Failed,
        other => return Err(format!("field mode: unknown {other:?}")),
    })
}

pub fn outcome(code: u32) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Full,
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Lost,
        444 => Outcome::Cancelled,
        409 => Outcome::Moot,
        other => return Err(format!("field code: unknown outcome {other}")),
    })
}

pub fn reason(info: u32) -> Reason {
    match info {
        1 => Reason::NoCores,
        2 => Reason::NoMemory,
        3 => Reason::LineFull,
        4 => Reason::NotHere,
        5 => Reason::Evicted,
        6 => Reason::PushedOut,
        7 => Reason::SentAway,
        _ => Reason::Unknown,
    }
}

pub fn note(what: u32, amount: f64) -> Option<Note> {
    Some(match what {
        1 => Note::Runs,
        2 => Note::CoresUsed(amount),
        3 => Note::MemoryUsed(amount),
        4 => Note::Served(amount),
        5 => Note::MachineMemory(amount),
        _ => return None,
    })
}
