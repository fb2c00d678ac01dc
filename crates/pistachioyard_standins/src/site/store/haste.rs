//! Answers that leave the next call to be made at once.

use ::http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Body, Response, State};

/// The number of events of an answer that has many.
const MANY_EVENTS: usize = 5_000;
/// The size of each object of a list that has no end, in bytes.
const LARGE_OBJECT_BYTES: usize = 4_000_000;

/// Says how the store answers watches and lists without letting them wait.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Haste {
    /// It lets watches wait, and answers as it should.
    #[default]
    None,
    /// Watches are answered at once, with the changes that there are.
    AtOnce,
    /// The same, with all changes of the history.
    SameEvents,
    /// Watches are answered at once with changes whose content is invalid.
    ManyInvalid,
    /// Watches are answered at once with deletions of objects that never were.
    ManyDeleted,
    /// Watches are answered at once, in front of the changes one that is no object.
    Undecodable,
    /// Each answer names a higher revision.
    RisingRevision,
    /// Each answer is of a later era.
    RisingEra,
    /// The history is always gone.
    HistoryGone,
    /// The history is always gone, and lists have the same page for ever.
    SamePage,
    /// The history is always gone, and lists have another page after each.
    EndlessPages,
    /// The history is always gone, and lists go on after a page that names no object.
    NamelessPage,
}

impl Haste {
    /// Returns the answer to a watch; none if the store answers as it should.
    pub(super) fn watch(self, state: &State, kind: &str, after: u64) -> Option<Response<Body>> {
        let revision = state.objects.revision;
        let page = |events: Vec<Value>, revision: u64| {
            let page = json!({ "events": events, "current_rev": revision });
            Some(state.answer(StatusCode::OK, &page))
        };
        match self {
            Self::None => None,
            Self::AtOnce | Self::RisingEra => state.changes(kind, after, true),
            Self::SameEvents => state.changes(kind, 0, true),
            Self::ManyInvalid => page(many(revision, false), revision),
            Self::ManyDeleted => page(many(revision, true), revision),
            Self::Undecodable => {
                let mut events = vec![json!({ "object": 0 })];
                let newer = state.objects.events.iter();
                let newer = newer.filter(|(k, rev, _)| k == kind && *rev > after);
                events.extend(newer.map(|(_, _, event)| event.clone()));
                page(events, revision)
            }
            Self::RisingRevision => page(Vec::new(), after + 1),
            Self::HistoryGone | Self::SamePage | Self::EndlessPages | Self::NamelessPage => {
                Some(state.refuse(StatusCode::GONE))
            }
        }
    }

    /// Returns the page of a list after the object `after`; none if the store answers as it
    /// should.
    pub(super) fn list(self, state: &State, after: Option<&str>) -> Option<Response<Body>> {
        let revision = state.objects.revision;
        let item = match self {
            Self::SamePage => odd(0, revision),
            Self::EndlessPages => {
                let last = after.and_then(|name| name.strip_prefix("odd-")?.parse().ok());
                let mut object = odd(last.map_or(0, |last: usize| last + 1), revision);
                object["spec"] = json!("x".repeat(LARGE_OBJECT_BYTES));
                object
            }
            Self::NamelessPage => json!({ "metadata": {} }),
            _ => return None,
        };
        let page = json!({ "items": [item], "has_more": true, "current_rev": revision });
        Some(state.answer(StatusCode::OK, &page))
    }
}

/// Returns an object whose name sorts by its number.
fn odd(number: usize, revision: u64) -> Value {
    let name = format!("odd-{number:09}");
    json!({ "metadata": { "name": name, "revision": revision }, "spec": {} })
}

fn many(revision: u64, deleted: bool) -> Vec<Value> {
    let objects = (0..MANY_EVENTS).map(|n| odd(n, revision));
    objects
        .map(|object| json!({ "object": object, "deleted": deleted }))
        .collect()
}
