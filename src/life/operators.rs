//! The operators' file: one JSON5 text, a section for each subsystem, read by the section's owner. A section that is
//! absent is off. All faults of a file are told at once, and a file with one is not used at all.

use crate::decide::fleet;
use crate::decide::fleet::settings::FleetSettings;
use crate::decide::groups;
use crate::decide::groups::settings::GroupSettings;
use crate::decide::limits::{self, Context, Table};
use crate::decide::subsets::settings::{self as parts, Means};
use crate::document::{self, Faults, Item, Sink, Text};
use crate::placer::Settings;
use crate::vocabulary::Vocabulary;
use crate::wire::rest::Options;
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A file that was read and found right.
#[derive(Clone, Debug)]
pub struct Operators {
    /// Where it was read from.
    pub path: PathBuf,
    /// SHA-256 of its text, in hex.
    pub digest: String,
    /// The REST front, where it is on.
    pub rest: Option<Options>,
    /// The limits; empty where the section is absent.
    pub limits: Arc<Table>,
    /// Groups, where they are on.
    pub groups: Option<Arc<GroupSettings>>,
    /// The fleet, where the planner is in one.
    pub fleet: Option<FleetSettings>,
    /// What is worth a word and no fault.
    pub told: Vec<String>,
}

/// Reads a file and holds it against the settings.
///
/// # Errors
/// All its faults.
pub fn load(path: &Path, settings: &Settings, words: &Vocabulary, means: Means) -> Result<Operators, Faults> {
    let text = document::load(path)?;
    read(path, &text, settings, words, means)
}

fn read(
    path: &Path,
    text: &Text,
    settings: &Settings,
    words: &Vocabulary,
    means: Means,
) -> Result<Operators, Faults> {
    let root = document::parse(text)?;
    let sink = Sink::default();
    let mut told = Vec::new();
    let (mut rest, mut groups, mut fleet, mut model) = (None, None, None, limits::Model::default());
    if let Some(section) = Item::root(&root, &sink).section() {
        rest = section.get("rest").and_then(|item| Options::read(&item));
        let of_fleet = section.get("fleet");
        fleet = of_fleet.as_ref().and_then(fleet::settings::read);
        if let (Some(item), Some(fleet)) = (&of_fleet, &fleet) {
            check_parts(item, fleet, settings, means);
        }
        // A fleet that is at fault is told as such, and not once more with each limit that needs it.
        let lease_s = match (&of_fleet, &fleet) {
            (None, _) => None,
            (Some(_), None) => Some(f64::INFINITY),
            (Some(_), Some(fleet)) => Some(fleet.plan.terms.lease as f64 / 1e6),
        };
        if let Some(item) = section.get("limits") {
            let context = Context { settings, classes: words.classes(), zones: words.zones(), lease_s };
            (model, told) = limits::read(&item, context);
        }
        groups = section.get("groups").and_then(|item| groups::settings::read(&item, words.classes()));
        section.close(|_| None);
    }
    if sink.count() > 0 {
        return Err(Faults::new(text, sink.take()));
    }
    let zone = settings.zone.map(|zone| words.zone_name(zone));
    let limits = Arc::new(Table::new(model, settings, zone.as_deref()));
    let digest = Sha256::digest(text.text().as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(Operators {
        path: path.to_path_buf(),
        digest,
        rest,
        limits,
        groups: groups.map(Arc::new),
        fleet,
        told,
    })
}

/// Holds the parts of a fleet against the limits of this planner.
fn check_parts(item: &Item<'_>, fleet: &FleetSettings, settings: &Settings, means: Means) {
    let item = item.section().and_then(|section| section.get("parts"));
    if let (Some(item), Some(of)) = (item, &fleet.parts) {
        let (planners, instances) = (fleet.planners.len(), settings.placers as usize);
        parts::check(&item, of, planners, means, instances);
    }
}
