//! The operators' file: a JSON5 text with a section for each subsystem, which reads its own section. A
//! subsystem whose section is absent is off. All faults of a file are reported at once, and a file with a
//! fault is not used.

use crate::decide::fleet;
use crate::decide::fleet::settings::FleetSettings;
use crate::decide::groups;
use crate::decide::groups::settings::GroupSettings;
use crate::decide::limits::{self, Context, Table};
use crate::document::{self, Faults, Item, Sink, Text};
use crate::placer::Settings;
use crate::vocabulary::Vocabulary;
use crate::wire::rest::Options;
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A file without faults.
#[derive(Clone, Debug)]
pub struct Operators {
    /// Where it was read from.
    pub path: PathBuf,
    /// SHA-256 of its text, in hex.
    pub digest: String,
    /// The options of the REST API, if it is on.
    pub rest: Option<Options>,
    /// The limits; empty if the section is absent.
    pub limits: Arc<Table>,
    /// The settings of groups, if they are on.
    pub groups: Option<Arc<GroupSettings>>,
    /// The fleet, if the planner is in one.
    pub fleet: Option<FleetSettings>,
    /// Remarks on parts that are valid but probably not intended.
    pub notes: Vec<String>,
}

/// Reads a file and checks it against the settings.
///
/// # Errors
/// All its faults.
pub fn load(path: &Path, settings: &Settings, vocabulary: &Vocabulary) -> Result<Operators, Faults> {
    let text = document::load(path)?;
    read(path, &text, settings, vocabulary)
}

/// Parses a file's text and checks it against the settings.
///
/// # Errors
/// All its faults.
pub fn read(
    path: &Path,
    text: &Text,
    settings: &Settings,
    vocabulary: &Vocabulary,
) -> Result<Operators, Faults> {
    let root = document::parse(text)?;
    let sink = Sink::default();
    let mut notes = Vec::new();
    let (mut rest, mut groups, mut fleet, mut model) = (None, None, None, limits::Model::default());
    if let Some(section) = Item::root(&root, &sink).section() {
        rest = section.get("rest").and_then(|item| Options::read(&item));
        let fleet_item = section.get("fleet");
        fleet = fleet_item.as_ref().and_then(fleet::settings::read);
        // A faulty fleet section is reported once: an infinite lease keeps the limits that need the lease
        // from adding faults of their own.
        let lease_s = match (&fleet_item, &fleet) {
            (None, _) => None,
            (Some(_), None) => Some(f64::INFINITY),
            (Some(_), Some(fleet)) => Some(fleet.plan.terms.lease as f64 / 1e6),
        };
        if let Some(item) = section.get("limits") {
            let context =
                Context { settings, classes: vocabulary.classes(), zones: vocabulary.zones(), lease_s };
            (model, notes) = limits::read(&item, context);
        }
        groups = section.get("groups").and_then(|item| groups::settings::read(&item, vocabulary.classes()));
        section.close(|_| None);
    }
    if sink.count() > 0 {
        return Err(Faults::new(text, sink.take()));
    }
    let zone = settings.zone.map(|zone| vocabulary.zone_name(zone));
    let limits = Arc::new(Table::new(model, settings, zone.as_deref()));
    let digest = Sha256::digest(text.text().as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(Operators {
        path: path.to_path_buf(),
        digest,
        rest,
        limits,
        groups: groups.map(Arc::new),
        fleet,
        notes,
    })
}
