//! The settings object, as the simulator's first message and the configuration carry it, and its names.
//! `run` and `sim` share this translation; nothing here decides anything.

use crate::placer::*;
use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// The names of one instance: machines as it met them, and the orders of its settings.
pub struct Vocabulary {
    numbers: BTreeMap<String, MachineId>,
    names: BTreeMap<MachineId, String>,
    next: u32,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    fields: Vec<String>,
}

pub(crate) fn place_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Vocabulary {
    /// The number of a machine; a new name gets the next one.
    pub fn machine(&mut self, name: &str) -> MachineId {
        if let Some(&id) = self.numbers.get(name) {
            return id;
        }
        let id = MachineId(self.next);
        self.next += 1;
        self.names.insert(id, name.to_string());
        self.numbers.insert(name.to_string(), id);
        id
    }

    /// The number of a machine that was met before.
    pub fn known(&self, name: &str) -> Option<MachineId> {
        self.numbers.get(name).copied()
    }

    /// The name of a machine.
    pub fn name(&self, machine: MachineId) -> String {
        self.names.get(&machine).cloned().unwrap_or_default()
    }

    /// How many machines are known by name.
    pub fn machines(&self) -> usize {
        self.names.len()
    }

    /// Forgets the names of all other machines. A number is never given twice.
    pub fn keep_machines(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.numbers.retain(|_, id| keep(*id));
        self.names.retain(|id, _| keep(*id));
    }

    /// The classes' names, in the settings' order.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The zones' names: those of the settings, then others as they were met.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        place_of(&self.classes, name)
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        place_of(&self.tenants, name)
    }

    /// The index of a kind of machine.
    pub fn kind(&self, name: &str) -> Option<usize> {
        place_of(&self.kinds, name)
    }

    /// The number of a zone; a new name gets the next one.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        if place_of(&self.zones, name).is_none() {
            self.zones.push(name.to_string());
        }
        ZoneId(place_of(&self.zones, name).unwrap_or_default() as u32)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> String {
        self.zones.get(zone.0 as usize).cloned().unwrap_or_default()
    }

    /// The name of a class.
    pub fn class_name(&self, class: usize) -> String {
        self.classes.get(class).cloned().unwrap_or_default()
    }

    /// A load report whose values come in the order of the settings.
    pub fn report(&self, values: &[f64]) -> Report {
        self.report_by(|name| values.get(place_of(&self.fields, name)?).copied())
    }

    /// A load report whose values come by name.
    pub fn report_by(&self, value: impl Fn(&str) -> Option<f64>) -> Report {
        let free = value("x0").zip(value("x1"));
        Report { free: free.map(|(cores, memory)| Room { cores, memory }), busy: value("cpu_share") }
    }
}

/// The machine's name as a number; it has no meaning of its own, and every planner finds the same.
pub fn key(name: &str) -> MachineKey {
    let mut hash = SipHasher13::new();
    hash.write(name.as_bytes());
    MachineKey(hash.finish())
}

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
    #[serde(default = "whole")]
    over_share_worth: f64,
    permissions: Permissions,
    report: ReportInfo,
    rules: Rules,
    #[serde(default)]
    tenants: Vec<TenantInfo>,
    tick_s: f64,
    zone: Option<String>,
}

fn whole() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Family {
    apart_by: Vec<String>,
    class_kind: Vec<i64>,
    cold_bears: f64,
    cores_multiple: f64,
    free_by: String,
    mem_booking: f64,
    memory_by_kind: Vec<f64>,
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

fn place(word: &str) -> Result<Option<Place>, String> {
    Ok(match word {
        "silent" | "" => None,
        "machine" => Some(Place::Machine),
        "cell" => Some(Place::Cell),
        "zone" => Some(Place::Zone),
        "all" => Some(Place::All),
        other => return Err(format!("unknown place {other:?}")),
    })
}

/// The settings of an instance and the words it will meet.
pub fn settings(boot_info: &Value) -> Result<(Settings, Vocabulary), String> {
    let boot = Boot::deserialize(boot_info).map_err(|e| e.to_string())?;
    let family = &boot.family_info;
    let classes = boot.grades.len();
    let lengths = [family.apart_by.len(), family.class_kind.len()];
    let more = [family.prompt_start_s.len(), family.spread_most.len()];
    if lengths.iter().chain(&more).any(|&n| n != classes) {
        return Err("arrays by class differ in length".into());
    }
    if family.size_cores.len() != boot.kinds.len() || family.memory_by_kind.len() != boot.kinds.len() {
        return Err("arrays by kind differ in length".into());
    }
    let quotas = &family.tenant_quota_cores;
    // A site without tenants may carry quotas all the same, and one with tenants none.
    if !quotas.is_empty() && !boot.tenants.is_empty() && quotas.len() != boot.tenants.len() {
        return Err("arrays by tenant differ in length".into());
    }
    let class_of = |(at, grade): (usize, &Grade)| class(at, grade, family);
    let price = |name: &str| boot.deductions.get(name).copied().unwrap_or(0.0);
    let words = Vocabulary {
        numbers: BTreeMap::new(),
        names: BTreeMap::new(),
        next: 0,
        classes: boot.grades.iter().map(|g| g.name.clone()).collect(),
        tenants: boot.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: boot.areas.clone(),
        kinds: boot.kinds.clone(),
        fields: boot.report.fields.clone(),
    };
    let sizes = family.size_cores.iter().zip(&family.memory_by_kind);
    let settings = Settings {
        classes: boot.grades.iter().enumerate().map(class_of).collect::<Result<_, _>>()?,
        kinds: sizes.map(|(&cores, &memory)| Kind { size: Room { cores, memory } }).collect(),
        tenants: boot.tenants.iter().zip(quotas).map(|(_, &quota_cores)| Tenant { quota_cores }).collect(),
        zone: boot.zone.and_then(|z| place_of(&boot.areas, &z)).map(|z| ZoneId(z as u32)),
        placers: boot.n_instances,
        all_placers: boot.n_instances,
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
        cold_bears: family.cold_bears,
        fall_s: boot.rules.fall_s,
        warm_within_s: boot.rules.warm_within_s,
        tick_s: boot.tick_s,
        over_share_worth: boot.over_share_worth,
        cross_zone_price: price("cross_zone"),
    };
    Ok((settings, words))
}

fn class(at: usize, grade: &Grade, family: &Family) -> Result<Class, String> {
    Ok(Class {
        effect: match grade.idempotency.as_str() {
            "repeatable" => Effect::Repeatable,
            "once" => Effect::Once,
            "by_key" => Effect::Keyed {
                group: place(&grade.group)?.unwrap_or(Place::All),
                window_s: grade.repeat_window_s,
            },
            other => return Err(format!("unknown idempotency {other:?}")),
        },
        deadline_s: grade.deadline_s,
        on_time_s: grade.on_time_s,
        late_share: grade.late_share,
        importance: grade.importance,
        prompt_start_s: family.prompt_start_s[at],
        spread: place(&family.apart_by[at])?.map(|place| (place, family.spread_most[at])),
        kind: usize::try_from(family.class_kind[at]).ok(),
    })
}
