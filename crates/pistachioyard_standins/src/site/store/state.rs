//! The objects of the store, and its answers about them.

use std::collections::BTreeMap;

use ::http::{HeaderValue, Response, StatusCode};
use serde_json::{Value, json};

use crate::site::http::{Body, full_body, json_response, status_only};

/// The maximum number of events kept for watches.
const MAX_EVENTS: usize = 4_096;
/// The header of every answer that counts the returns from a copy.
const ERA_HEADER: &str = "store-era";

#[derive(Clone, Default)]
pub(super) struct Objects {
    pub(super) revision: u64,
    pub(super) by_key: BTreeMap<(String, String), Value>,
    /// The kind, the revision and the event of each change.
    pub(super) events: Vec<(String, u64, Value)>,
}

/// Holds the objects and the number of times that they came from a copy.
#[derive(Default)]
pub(super) struct State {
    pub(super) era: u64,
    pub(super) objects: Objects,
    /// Texts of entries of another writer.
    pub(super) odd: Vec<String>,
    /// The address that registrations of entries get in place of their own; null for none.
    pub(super) strangers: Value,
}

impl State {
    /// Returns an answer in the current era.
    pub(super) fn answer(&self, status: StatusCode, value: &Value) -> Response<Body> {
        self.with_era(json_response(status, value))
    }

    pub(super) fn refuse(&self, status: StatusCode) -> Response<Body> {
        self.with_era(status_only(status))
    }

    pub(super) fn with_era(&self, mut answer: Response<Body>) -> Response<Body> {
        let headers = answer.headers_mut();
        headers.insert(ERA_HEADER, HeaderValue::from(self.era));
        answer
    }

    pub(super) fn list(&self, kind: &str) -> Response<Body> {
        let objects = &self.objects;
        let of_kind = objects.by_key.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
        let page = json!({ "items": items, "has_more": false, "current_rev": objects.revision });
        let odd = self.odd_of(kind).join(",");
        self.page(&page, "\"items\":[", &odd, items.is_empty())
    }

    /// Returns the texts of another writer among the objects of a kind.
    pub(super) fn odd_of(&self, kind: &str) -> Vec<String> {
        match kind {
            "servers" => self.odd.clone(),
            _ => Vec::new(),
        }
    }

    /// Returns a page with the text `odd` in front of what follows `start`.
    pub(super) fn page(
        &self,
        page: &Value,
        start: &str,
        odd: &str,
        is_empty: bool,
    ) -> Response<Body> {
        if odd.is_empty() {
            return self.answer(StatusCode::OK, page);
        }
        let separator = if is_empty { "" } else { "," };
        let text = page.to_string();
        let text = text.replacen(start, &format!("{start}{odd}{separator}"), 1);
        self.with_era(Response::new(full_body(text)))
    }

    /// Returns the answer to a watch; none if there are no changes and its wait is not over.
    pub(super) fn changes(&self, kind: &str, after: u64, is_over: bool) -> Option<Response<Body>> {
        let objects = &self.objects;
        if after > objects.revision {
            return Some(self.refuse(StatusCode::GONE));
        }
        let newer = objects
            .events
            .iter()
            .filter(|(k, rev, _)| k == kind && *rev > after);
        let events: Vec<&Value> = newer.map(|(_, _, event)| event).collect();
        let page = json!({ "events": events, "current_rev": objects.revision });
        let odd = self.odd_of(kind).into_iter();
        let odd: Vec<String> = odd
            .map(|text| format!("{{\"object\":{text},\"deleted\":false}}"))
            .collect();
        let answer = || self.page(&page, "\"events\":[", &odd.join(","), events.is_empty());
        (is_over || !events.is_empty()).then(answer)
    }

    pub(super) fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        match self.objects.by_key.get(&key) {
            Some(object) => self.answer(StatusCode::OK, object),
            None => self.refuse(StatusCode::NOT_FOUND),
        }
    }

    pub(super) fn write(
        &mut self,
        kind: &str,
        name: &str,
        body: &Value,
        create: bool,
    ) -> Response<Body> {
        let objects = &mut self.objects;
        let key = (kind.to_owned(), name.to_owned());
        let old = objects.by_key.get(&key);
        let expected = body["metadata"]["revision"].as_u64();
        let current = old.and_then(|object| object["metadata"]["revision"].as_u64());
        if create && old.is_some() || !create && expected.is_some() && expected != current {
            let old = old.cloned().unwrap_or_default();
            return self.answer(StatusCode::CONFLICT, &old);
        }
        objects.revision += 1;
        let revision = objects.revision;
        let mut object = json!({
            "metadata": { "name": name, "revision": revision, "created": revision,
                "finalizers": [], "deleting": false },
            "spec": body["spec"], "status": null,
        });
        if kind == "entries" && !self.strangers.is_null() {
            object["spec"]["peer_address"] = self.strangers.clone();
        }
        objects.by_key.insert(key, object.clone());
        objects.record_event(kind, revision, &object, false);
        self.answer(StatusCode::OK, &object)
    }

    pub(super) fn delete(&mut self, kind: &str, name: &str) -> Response<Body> {
        let objects = &mut self.objects;
        let Some(mut object) = objects.by_key.remove(&(kind.to_owned(), name.to_owned())) else {
            return self.refuse(StatusCode::NOT_FOUND);
        };
        objects.revision += 1;
        let revision = objects.revision;
        object["metadata"]["revision"] = revision.into();
        objects.record_event(kind, revision, &object, true);
        self.answer(StatusCode::OK, &object)
    }
}

impl Objects {
    pub(super) fn record_event(
        &mut self,
        kind: &str,
        revision: u64,
        object: &Value,
        deleted: bool,
    ) {
        let event = json!({ "object": object, "deleted": deleted });
        self.events.push((kind.to_owned(), revision, event));
        let surplus = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..surplus);
    }
}
