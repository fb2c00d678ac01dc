//! Identifies a request: its route, workspace, deadline and body.

use std::net::SocketAddr;
use std::sync::OnceLock;

use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use pistachioyard_platform::{CallerHead, decode_caller_head};
use pistachioyard_policy::{Route, RouteTable, Workspace};
use pistachioyard_wire::RequestDigest;

use super::Call;
use super::body::{BodyTerms, read_body};
use super::record::Record;
use crate::memory::HeldMemory;
use crate::prelude::*;
use crate::router::http_server::RequestOrigin;
use crate::router::{ActiveConfig, Router};

/// The retry delay for callers while this process has no configuration yet, in ms; the store
/// answers within a few ms.
const NO_CONFIG_RETRY_MS: u64 = 300;
/// The retry delay for callers whose headers find no memory, in ms; about the time that a few
/// requests take.
const NO_MEMORY_RETRY_MS: u64 = 500;
/// The memory that a header takes beside its text, in bytes: its entries in the maps of the request
/// and of the copy that is sent on.
const HEADER_ENTRY_BYTES: usize = 256;
/// The size of a head that is accepted whatever the limit is, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Identifies a request and reads its body.
pub(crate) async fn identify(
    router: &Router,
    req: Request<Incoming>,
    arrived_at: Instant,
    record: &mut Record,
) -> Result<Call, Problem> {
    let (mut parts, body) = req.into_parts();
    let head = decode_caller_head(&parts)
        .map_err(|e| Problem::new(ProblemKind::BadRequest, Outcome::NotRun, e.to_string()))?;
    record.set_request_id(&head.request_id);
    let config = router.active_config().ok_or_else(|| {
        let detail = "this entry has no configuration yet; retry later or use another entry";
        Problem::new(ProblemKind::NoConfig, Outcome::NotRun, detail)
            .with_retry_after_ms(NO_CONFIG_RETRY_MS)
    })?;
    record.set_config(&config);
    let route = find_route(&config.table, &head, &parts)?;
    record.set_route(&route);
    let workspace = find_workspace(&config.table, &route, &head)?;
    let deadline = request_deadline(&route, &head, arrived_at);
    let origin = parts.extensions.remove::<RequestOrigin>();
    let origin = origin.expect("the server adds it to each request");
    let caller = origin.address;
    let header_memory = hold_headers(router, &parts, caller)?;
    let terms = BodyTerms {
        origin,
        max_bytes: config.table.limits.max_body_bytes,
        deadline,
    };
    let body = read_body(router, body, terms).await?;
    Ok(build_call(
        parts,
        head,
        caller,
        body,
        config,
        route,
        workspace,
        arrived_at,
        deadline,
        header_memory,
    ))
}

/// Takes the memory of a request's headers, which may be many and short.
fn hold_headers(router: &Router, parts: &Parts, caller: SocketAddr) -> Result<HeldMemory, Problem> {
    let count = parts.headers.len();
    let mut held = HeldMemory::new(router.memory.heads.clone(), caller);
    if held.resize(count * HEADER_ENTRY_BYTES) {
        return Ok(held);
    }
    let detail = format!(
        "the requests in progress leave no memory for {count} headers; the request was not run, \
         retry later or use another entry"
    );
    Err(Problem::new(ProblemKind::NoMemory, Outcome::NotRun, detail)
        .with_retry_after_ms(NO_MEMORY_RETRY_MS))
}

/// Refuses a request whose head is longer than the configuration in force allows.
///
/// The buffers of connections have room for more, since the limit may rise while they are open.
pub(super) fn check_head(router: &Router, req: &Request<Incoming>) -> Result<(), Problem> {
    if router.active_config().is_none() {
        return Ok(());
    }
    let limit = router.max_head_bytes().max(MIN_HEAD_BYTES);
    if head_bytes(req) <= limit {
        return Ok(());
    }
    let detail = format!("the head exceeds the limit of {limit} bytes");
    Err(Problem::new(
        ProblemKind::HeadTooLarge,
        Outcome::NotRun,
        detail,
    ))
}

/// Returns the size of a request's head in the shortest form in which a caller can have sent it.
fn head_bytes(req: &Request<Incoming>) -> usize {
    let path = req.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let first_line = req.method().as_str().len() + path + "  HTTP/1.1\r\n".len();
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + ":\r\n".len()
    };
    first_line + req.headers().iter().map(line).sum::<usize>() + "\r\n".len()
}

#[expect(
    clippy::too_many_arguments,
    reason = "the parts are determined one after the other"
)]
fn build_call(
    parts: Parts,
    head: CallerHead,
    caller: SocketAddr,
    body: bytes::Bytes,
    config: ActiveConfig,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    arrived_at: Instant,
    deadline: Instant,
    header_memory: HeldMemory,
) -> Call {
    let path_and_query = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.path().to_owned(), |p| p.as_str().to_owned());
    let workspace_name = workspace.as_ref().map_or("", |w| w.name.as_str());
    let digest = RequestDigest::of(&[
        parts.method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        workspace_name.as_bytes(),
        &body,
    ]);
    Call {
        head,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body,
        caller,
        config,
        route,
        workspace,
        arrived_at,
        deadline,
        digest,
        is_relayed: false,
        is_trial: false,
        in_progress: OnceLock::new(),
        _header_memory: header_memory,
    }
}

fn find_route(table: &RouteTable, head: &CallerHead, parts: &Parts) -> Result<Arc<Route>, Problem> {
    table
        .route(&head.host, parts.uri.path())
        .cloned()
        .ok_or_else(|| {
            let detail = format!(
                "host {} has no route for path {}",
                head.host,
                parts.uri.path()
            );
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
        let detail =
            "the key is missing or belongs to no workspace; send it as Authorization: Bearer KEY";
        return Err(Problem::new(
            ProblemKind::UnknownCaller,
            Outcome::NotRun,
            detail,
        ));
    }
    Ok(found.cloned())
}

fn request_deadline(route: &Route, head: &CallerHead, arrived_at: Instant) -> Instant {
    let timeout = head.deadline.unwrap_or(route.timeout);
    arrived_at + timeout.min(route.timeout)
}
