//! The request that returns the operators' limits in force.

use super::answers::{self, Answer};
use super::objects::rfc3339;
use super::Api;
use crate::decide::limits::{explain, Figures};
use crate::state::FleetView;
use crate::wire::hub::DatagramCounts;
use axum::extract::State;
use serde_json::{json, Map, Value};
use std::sync::Arc;

fn figures(of: &Figures) -> Map<String, Value> {
    let value = |text: String| serde_json::from_str(&text).unwrap_or(Value::String(text));
    explain::figures_by_name(of).into_iter().map(|(name, text)| (name.to_string(), value(text))).collect()
}

/// The planner's state in its fleet: its slots, its share of each budget, and the counts of datagrams.
fn fleet(of: &FleetView, counts: &DatagramCounts) -> Value {
    let slots = of.slots.iter().map(|(slot, left_s)| json!({"slot": slot, "forMs": (left_s * 1e3).round()}));
    let budgets = of.budgets.iter().map(|b| {
        json!({"place": &*b.place, "of": b.kind.setting_name(), "whole": b.total.1, "wholeOfFile": b.total.0,
            "usable": b.usable, "used": b.used, "wanted": b.demand})
    });
    json!({
        "planner": of.place.0,
        "planners": of.place.1,
        "heardLately": of.here,
        "slots": slots.collect::<Vec<_>>(),
        "budgets": budgets.collect::<Vec<_>>(),
        "datagrams": {"heard": counts.received.0, "heardBytes": counts.received.1, "sent": counts.sent.0,
            "sentBytes": counts.sent.1, "unlisted": counts.unlisted, "otherFleet": counts.other,
            "otherVersion": counts.version, "unreadable": counts.unreadable},
    })
}

/// The limits in force: generation and digest of the file, its limits, the counters, and the last rejected
/// file.
pub(super) async fn get(State(api): State<Arc<Api>>) -> Answer {
    let (view, names, fleet_json) = {
        let mut inner = api.hub.lock();
        let now = api.hub.now();
        let view = inner.core.limits_view(now);
        let fleet_json = inner.core.fleet_view(now).map(|view| fleet(&view, &inner.peer_counts));
        (view, inner.core.vocabulary().classes().to_vec(), fleet_json)
    };
    let model = view.table.model();
    let classes: Map<String, Value> =
        names.iter().zip(&model.classes).map(|(name, f)| (name.clone(), figures(f).into())).collect();
    let routes: Vec<Value> = model
        .routes
        .iter()
        .map(|route| {
            let mut object = figures(&route.figures);
            object.insert("name".into(), json!(&*route.name));
            object.insert("match".into(), json!(explain::matching(route, &names)));
            object.into()
        })
        .collect();
    let counted: Vec<Value> = view
        .readings
        .iter()
        .map(|r| {
            json!({"place": &*r.name, "inFlight": r.in_flight, "firstTries": r.first_attempts,
                "furtherTries": r.retries})
        })
        .collect();
    let mut body = json!({
        "kind": "Limits",
        "generation": view.generation,
        "digest": view.digest,
        "default": figures(&model.default),
        "classes": classes,
        "routes": routes,
        "counted": counted,
    });
    if let Some(fleet_json) = fleet_json {
        body["fleet"] = fleet_json;
    }
    if view.generation > 0 {
        body["since"] = json!(rfc3339(view.since));
    }
    if let Some((at, why)) = &view.refused {
        body["lastRefusal"] = json!({"at": rfc3339(*at), "faults": why});
    }
    Ok(answers::json(200, &body))
}
