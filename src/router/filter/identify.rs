//! Finds out what a request is: its route, its workspace, its time, its body.

use http::Request;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use pistachioyard_platform::{CallerHead, decode_caller_head};
use pistachioyard_policy::{Route, RouteTable, Workspace};
use pistachioyard_wire::RequestDigest;

use super::Call;
use super::record::Record;
use crate::prelude::*;
use crate::router::{ActiveConfig, Router};

/// When a caller may come back while this process has no configuration yet, in ms;
/// the store answers in a few.
const NO_CONFIG_RETRY_MS: u64 = 300;

/// Identifies a request and reads its body.
pub(crate) async fn identify(
    router: &Router,
    req: Request<Incoming>,
    arrived_at: Instant,
    record: &mut Record,
) -> Result<Call, Problem> {
    let (parts, body) = req.into_parts();
    let head = decode_caller_head(&parts)
        .map_err(|e| Problem::new(ProblemKind::BadRequest, Outcome::NotRun, e.to_string()))?;
    record.identified(&head.request_id);
    let in_force = router.active_config().ok_or_else(|| {
        let detail = "this entry has no configuration yet; come back or ask another entry";
        Problem::new(ProblemKind::NoConfig, Outcome::NotRun, detail)
            .with_retry_after_ms(NO_CONFIG_RETRY_MS)
    })?;
    record.under(&in_force);
    let route = find_route(&in_force.table, &head, &parts)?;
    record.on_route(&route);
    let workspace = find_workspace(&in_force.table, &route, &head)?;
    let body = read_body(&in_force.table, body).await?;
    let end_at = end_of_time(&route, &head, arrived_at);
    Ok(call(
        parts, head, body, in_force, route, workspace, arrived_at, end_at,
    ))
}

#[expect(
    clippy::too_many_arguments,
    reason = "the parts are found one after the other"
)]
fn call(
    parts: Parts,
    head: CallerHead,
    body: bytes::Bytes,
    in_force: ActiveConfig,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    arrived_at: Instant,
    end_at: Instant,
) -> Call {
    let path_and_query = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.path().to_owned(), |p| p.as_str().to_owned());
    let owner = workspace.as_ref().map_or("", |w| w.name.as_str());
    let digest = RequestDigest::of(&[
        parts.method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        owner.as_bytes(),
        &body,
    ]);
    Call {
        head,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body,
        in_force,
        route,
        workspace,
        arrived_at,
        end_at,
        digest,
    }
}

fn find_route(table: &RouteTable, head: &CallerHead, parts: &Parts) -> Result<Arc<Route>, Problem> {
    table
        .route(&head.host, parts.uri.path())
        .cloned()
        .ok_or_else(|| {
            let detail = format!("no route of {} begins {}", head.host, parts.uri.path());
            Problem::new(ProblemKind::NotConfigured, Outcome::NotRun, detail)
        })
}

fn find_workspace(
    table: &RouteTable,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<Arc<Workspace>>, Problem> {
    let found = head.key.as_ref().and_then(|key| table.workspace(key));
    if found.is_none() && table.needs_key(route) {
        let detail = "no workspace holds the key; send one as Authorization: Bearer KEY";
        return Err(Problem::new(
            ProblemKind::UnknownCaller,
            Outcome::NotRun,
            detail,
        ));
    }
    Ok(found.cloned())
}

async fn read_body(table: &RouteTable, body: Incoming) -> Result<bytes::Bytes, Problem> {
    let limit = table.limits.max_body_bytes;
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let detail = format!("the body has more than {limit} bytes; send less");
            Err(Problem::new(
                ProblemKind::BodyTooLarge,
                Outcome::NotRun,
                detail,
            ))
        }
        Err(e) => {
            let detail = format!("the body could not be read: {e}");
            Err(Problem::new(
                ProblemKind::BadRequest,
                Outcome::NotRun,
                detail,
            ))
        }
    }
}

fn end_of_time(route: &Route, head: &CallerHead, arrived_at: Instant) -> Instant {
    let deadline = head.deadline.unwrap_or(route.timeout);
    arrived_at + deadline.min(route.timeout)
}
