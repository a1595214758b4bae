//! The operators' limits as they are in force.

use super::answers::{self, Answer};
use super::objects::stamp;
use super::Front;
use crate::decide::limits::{explain, Figures};
use axum::extract::State;
use serde_json::{json, Map, Value};
use std::sync::Arc;

fn figures(of: &Figures) -> Map<String, Value> {
    let value = |word: String| serde_json::from_str(&word).unwrap_or(Value::String(word));
    explain::words(of).into_iter().map(|(name, word)| (name.to_string(), value(word))).collect()
}

/// What is in force: generation, digest, the file's places, what is counted, and the last refusal.
pub(super) async fn get(State(front): State<Arc<Front>>) -> Answer {
    let (view, names) = {
        let mut inner = front.hub.lock();
        let view = inner.core.limits_view(front.hub.now());
        (view, inner.core.words().classes().to_vec())
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
            json!({"place": &*r.name, "inFlight": r.in_flight, "firstTries": r.first_tries,
                "furtherTries": r.further_tries})
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
    if view.generation > 0 {
        body["since"] = json!(stamp(view.since));
    }
    if let Some((at, why)) = &view.refused {
        body["lastRefusal"] = json!({"at": stamp(*at), "faults": why});
    }
    Ok(answers::json(200, &body))
}
