//! Translates the platform's settings object, which comes in the configuration or in the simulator's first
//! message, and maps the names of machines, classes and the like to the ids that the program uses.

use crate::placer::*;
use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// The names and ids that one planner uses: of machines, classes, tenants, zones, kinds and report fields.
pub struct Vocabulary {
    ids: BTreeMap<String, MachineId>,
    names: BTreeMap<MachineId, String>,
    next_id: u32,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    fields: Vec<String>,
}

pub(crate) fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Vocabulary {
    /// The id of a machine; a new name gets the next free id.
    pub fn machine(&mut self, name: &str) -> MachineId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = MachineId(self.next_id);
        self.next_id += 1;
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// The id of a machine whose name is known.
    pub fn known(&self, name: &str) -> Option<MachineId> {
        self.ids.get(name).copied()
    }

    /// The name of a machine.
    pub fn name(&self, machine: MachineId) -> String {
        self.names.get(&machine).cloned().unwrap_or_default()
    }

    /// The number of known machines.
    pub fn machines(&self) -> usize {
        self.names.len()
    }

    /// Forgets all machines but those to keep. An id is never assigned twice.
    pub fn keep_machines(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.ids.retain(|_, id| keep(*id));
        self.names.retain(|id, _| keep(*id));
    }

    /// The names of the classes, in the order of the settings.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The names of the zones: those of the settings, then others in the order of their first use.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }

    /// The index of a kind of machine.
    pub fn kind(&self, name: &str) -> Option<usize> {
        index_of(&self.kinds, name)
    }

    /// The id of a zone; a new name gets the next free id.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        if index_of(&self.zones, name).is_none() {
            self.zones.push(name.to_string());
        }
        ZoneId(index_of(&self.zones, name).unwrap_or_default() as u32)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> String {
        self.zones.get(zone.0 as usize).cloned().unwrap_or_default()
    }

    /// The name of a class.
    pub fn class_name(&self, class: usize) -> String {
        self.classes.get(class).cloned().unwrap_or_default()
    }

    /// A load report from values in the order of the report's fields in the settings.
    pub fn report(&self, values: &[f64]) -> Report {
        self.report_by(|name| values.get(index_of(&self.fields, name)?).copied())
    }

    /// A load report from a function that returns the value of a named field.
    pub fn report_by(&self, value: impl Fn(&str) -> Option<f64>) -> Report {
        let free = value("x0").zip(value("x1"));
        Report { free: free.map(|(cores, memory)| Room { cores, memory }), busy: value("cpu_share") }
    }
}

/// A hash of a machine's name, the same at every planner.
pub fn key(name: &str) -> MachineKey {
    let mut hash = SipHasher13::new();
    hash.write(name.as_bytes());
    MachineKey(hash.finish())
}

/// The settings object, with the platform's names: `grades` are the classes, `areas` the zones.
#[derive(Deserialize)]
struct Boot {
    areas: Vec<String>,
    #[serde(default)]
    deductions: BTreeMap<String, f64>,
    family_info: Family,
    grades: Vec<Grade>,
    kinds: Vec<String>,
    membership_mode: String,
    n_instances: u32,
    #[serde(default = "default_over_share_worth")]
    over_share_worth: f64,
    permissions: Permissions,
    report: ReportInfo,
    rules: Rules,
    #[serde(default)]
    tenants: Vec<TenantInfo>,
    tick_s: f64,
    zone: Option<String>,
}

fn default_over_share_worth() -> f64 {
    1.0
}

/// Seconds. The owners' wait where the settings name none.
fn default_owner_wait_s() -> f64 {
    3.0
}

/// Settings of the kind of platform; arrays are by class, or by kind of machine.
#[derive(Deserialize)]
struct Family {
    apart_by: Vec<String>,
    class_kind: Vec<i64>,
    cold_bears: f64,
    cores_multiple: f64,
    free_by: String,
    mem_booking: f64,
    memory_by_kind: Vec<f64>,
    #[serde(default = "default_owner_wait_s")]
    owner_wait_s: f64,
    prompt_start_s: Vec<f64>,
    says_yes: String,
    shows_free: bool,
    size_cores: Vec<f64>,
    spread_most: Vec<u32>,
    #[serde(default)]
    tenant_quota_cores: Vec<f64>,
}

#[derive(Deserialize)]
struct Grade {
    name: String,
    deadline_s: f64,
    #[serde(default)]
    group: String,
    idempotency: String,
    importance: f64,
    #[serde(default)]
    late_share: f64,
    on_time_s: f64,
    #[serde(default)]
    repeat_window_s: f64,
}

#[derive(Deserialize)]
struct Permissions {
    max_attempts: usize,
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize)]
struct ReportInfo {
    #[serde(default)]
    fields: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
struct Rules {
    ask_every_s: f64,
    fall_s: f64,
    warm_within_s: f64,
}

#[derive(Deserialize)]
struct TenantInfo {
    name: String,
}

fn parse_place(name: &str) -> Result<Option<Place>, String> {
    Ok(match name {
        "silent" | "" => None,
        "machine" => Some(Place::Machine),
        "cell" => Some(Place::Cell),
        "zone" => Some(Place::Zone),
        "all" => Some(Place::All),
        other => return Err(format!("unknown place {other:?}: use machine, cell, zone, all or silent")),
    })
}

/// Reads the settings object: the settings of a planner, and the names in them.
pub fn settings(boot_info: &Value) -> Result<(Settings, Vocabulary), String> {
    let boot = Boot::deserialize(boot_info).map_err(|e| e.to_string())?;
    let family = &boot.family_info;
    let classes = boot.grades.len();
    let lengths = [family.apart_by.len(), family.class_kind.len()];
    let more = [family.prompt_start_s.len(), family.spread_most.len()];
    if lengths.iter().chain(&more).any(|&n| n != classes) {
        return Err("family_info: arrays by class differ in length from grades".into());
    }
    if family.size_cores.len() != boot.kinds.len() || family.memory_by_kind.len() != boot.kinds.len() {
        return Err("family_info: arrays by kind differ in length from kinds".into());
    }
    let quotas = &family.tenant_quota_cores;
    // Quotas without tenants are allowed, and so are tenants without quotas.
    if !quotas.is_empty() && !boot.tenants.is_empty() && quotas.len() != boot.tenants.len() {
        return Err("family_info: tenant_quota_cores differs in length from tenants".into());
    }
    let parse_class = |(at, grade): (usize, &Grade)| class_settings(at, grade, family);
    let price = |name: &str| boot.deductions.get(name).copied().unwrap_or(0.0);
    let vocabulary = Vocabulary {
        ids: BTreeMap::new(),
        names: BTreeMap::new(),
        next_id: 0,
        classes: boot.grades.iter().map(|g| g.name.clone()).collect(),
        tenants: boot.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: boot.areas.clone(),
        kinds: boot.kinds.clone(),
        fields: boot.report.fields.clone(),
    };
    let sizes = family.size_cores.iter().zip(&family.memory_by_kind);
    let settings = Settings {
        classes: boot.grades.iter().enumerate().map(parse_class).collect::<Result<_, _>>()?,
        kinds: sizes.map(|(&cores, &memory)| Kind { size: Room { cores, memory } }).collect(),
        tenants: boot.tenants.iter().zip(quotas).map(|(_, &quota_cores)| Tenant { quota_cores }).collect(),
        zone: boot.zone.and_then(|z| index_of(&boot.areas, &z)).map(|z| ZoneId(z as u32)),
        placers: boot.n_instances,
        ask_for_list: boot.membership_mode == "ask",
        ask_every_s: boot.rules.ask_every_s,
        list_shows_room: family.shows_free,
        cores_multiple: family.cores_multiple,
        memory_multiple: family.mem_booking,
        confirms_running: family.says_yes == "running",
        reports: match boot.report.source.as_str() {
            "piggyback" => ReportSource::Answers,
            "pull" => ReportSource::Probes,
            _ => ReportSource::Silent,
        },
        reports_used: family.free_by == "used",
        probes: boot.permissions.probes,
        max_attempts: boot.permissions.max_attempts,
        cold_offer_limit: family.cold_bears,
        cold_window_s: boot.rules.fall_s,
        warm_within_s: boot.rules.warm_within_s,
        tick_s: boot.tick_s,
        over_share_worth: boot.over_share_worth,
        cross_zone_price: price("cross_zone"),
        owner_wait_s: family.owner_wait_s,
    };
    Ok((settings, vocabulary))
}

fn class_settings(at: usize, grade: &Grade, family: &Family) -> Result<Class, String> {
    Ok(Class {
        idempotency: match grade.idempotency.as_str() {
            "repeatable" => Idempotency::Repeatable,
            "once" => Idempotency::Once,
            "by_key" => Idempotency::Keyed {
                group: parse_place(&grade.group)?.unwrap_or(Place::All),
                window_s: grade.repeat_window_s,
            },
            other => return Err(format!("unknown idempotency {other:?}: use repeatable, once or by_key")),
        },
        deadline_s: grade.deadline_s,
        on_time_s: grade.on_time_s,
        late_share: grade.late_share,
        importance: grade.importance,
        prompt_start_s: family.prompt_start_s[at],
        spread: parse_place(&family.apart_by[at])?.map(|place| (place, family.spread_most[at])),
        kind: usize::try_from(family.class_kind[at]).ok(),
    })
}
