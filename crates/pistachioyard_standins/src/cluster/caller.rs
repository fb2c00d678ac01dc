//! A caller that checks what it is told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pistachioyard_wire::{
    GenerateRequest, ModelName, NameError, OperationKey, OperationOutcome, Problem, StreamEvent,
    TokenDigest, WorkspaceName,
};

use super::ClusterError;
use crate::deployment::Deployment;
use crate::{HttpClient, HttpClientConfig, SseReader, reference_tokens};

/// How an answer ended, as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerateEnd {
    /// Whole: the count and digest at its end match the tokens received.
    Whole,
    /// Ended by a problem.
    Problem(Problem),
    /// The connection ended before the answer did.
    Broken,
    /// The router broke its own protocol.
    Invalid(String),
}

/// An answer and when its parts came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The tokens, in order.
    pub tokens: Vec<u64>,
    /// The resume token of the first event.
    pub resume: Option<String>,
    /// How it ended.
    pub end: GenerateEnd,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When each token came.
    pub token_times: Vec<Instant>,
}

impl Answer {
    /// Tells whether the answer is whole and every token is right.
    pub fn is_right(&self, deployment: Deployment, req: &GenerateRequest) -> bool {
        self.end == GenerateEnd::Whole && self.tokens == expected_tokens(deployment, req)
    }
}

/// Computes the right answer alone.
fn expected_tokens(deployment: Deployment, req: &GenerateRequest) -> Vec<u64> {
    reference_tokens(
        deployment.model(),
        deployment.version(),
        &req.prompt,
        deployment.layers(),
        req.max_tokens,
    )
}

/// Makes a request of a workspace.
///
/// # Errors
///
/// Fails when the workspace is not a name.
pub fn draft_request(
    deployment: Deployment,
    workspace: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<GenerateRequest, NameError> {
    Ok(GenerateRequest {
        workspace: WorkspaceName::try_from(workspace)?,
        model: ModelName::try_from(deployment.model())?,
        adapter: None,
        prompt: prompt.to_owned(),
        max_tokens,
        priority: None,
        deadline_ms: None,
        resume: None,
        received: Vec::new(),
    })
}

/// Sends requests to entries.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(Duration::from_secs(60))
    }
}

impl Caller {
    /// Makes a caller that waits so long for an answer to begin.
    pub fn new(request_timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(HttpClientConfig {
                request_timeout,
                connect_timeout: Duration::from_millis(500),
                ..HttpClientConfig::default()
            }),
        }
    }

    /// Asks an entry for an answer; `on_token` sees the number of tokens so far.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        req: &GenerateRequest,
        mut on_token: impl FnMut(usize),
    ) -> Answer {
        let on_progress = |answer: &Answer| on_token(answer.tokens.len());
        self.generate_watched(entry, req, on_progress).await
    }

    /// Asks an entry for an answer; `on_progress` sees the answer so far after its
    /// first event and after each token.
    pub async fn generate_watched(
        &self,
        entry: SocketAddr,
        req: &GenerateRequest,
        mut on_progress: impl FnMut(&Answer),
    ) -> Answer {
        let mut answer = Answer {
            tokens: req.received.clone(),
            resume: req.resume.clone(),
            end: GenerateEnd::Broken,
            sent_at: Instant::now(),
            token_times: Vec::new(),
        };
        let body = serde_json::to_vec(req).expect("a request can be written as JSON");
        let opened = self
            .client
            .open_lines(Method::POST, entry, "/v1/generate", &[], body)
            .await;
        let Ok(lines) = opened else { return answer };
        if !lines.status().is_success() {
            answer.end = read_problem(lines).await;
            return answer;
        }
        let mut events = SseReader::new(lines);
        while let Ok(Some(event)) = events.next_event().await {
            if let Some(end) = answer.take(event) {
                answer.end = end;
                break;
            }
            on_progress(&answer);
        }
        answer
    }

    /// Asks one entry after the other until the answer is whole or refused; an
    /// answer that broke off goes on at the next entry.
    pub async fn generate_resuming(&self, entries: &[SocketAddr], req: &GenerateRequest) -> Answer {
        let mut req = req.clone();
        let mut last = None;
        for entry in entries.iter().cycle().take(entries.len() * 3) {
            let answer = self.generate(*entry, &req, |_| {}).await;
            if answer.end != GenerateEnd::Broken {
                return answer;
            }
            if answer.resume.is_some() {
                req.resume = answer.resume.clone();
                req.received = answer.tokens.clone();
            }
            last = Some(answer);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        last.expect("there is at least one entry")
    }

    /// Sends an operation.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer; a problem is an answer.
    pub async fn operate(
        &self,
        entry: SocketAddr,
        deployment: Deployment,
        call: &str,
        key: Option<OperationKey>,
        body: &str,
    ) -> Result<Result<OperationOutcome, Problem>, ClusterError> {
        let (service, _) = deployment.service_call();
        let (workspace, _) = deployment.workspaces();
        let key = key.map(|key| key.to_string()).unwrap_or_default();
        let mut headers = vec![("x-workspace", workspace)];
        if !key.is_empty() {
            headers.push(("idempotency-key", &key));
        }
        let path = format!("/v1/operations/{service}?call={call}");
        let answer = self
            .client
            .post(entry, &path, &headers, body.to_owned())
            .await?;
        if answer.status.is_success() {
            Ok(Ok(answer.json()?))
        } else {
            Ok(Err(serde_json::from_slice(&answer.body)?))
        }
    }
}

impl Answer {
    fn take(&mut self, event: StreamEvent) -> Option<GenerateEnd> {
        match event {
            StreamEvent::Start { resume, .. } => {
                self.resume = Some(resume);
                None
            }
            StreamEvent::Token { index, token } => {
                if index as usize != self.tokens.len() {
                    let why = format!("index {index} after {} tokens", self.tokens.len());
                    return Some(GenerateEnd::Invalid(why));
                }
                self.tokens.push(token);
                self.token_times.push(Instant::now());
                None
            }
            StreamEvent::End { count, digest, .. } => Some(self.check_end(count, &digest)),
            StreamEvent::Error(problem) => Some(GenerateEnd::Problem(problem)),
        }
    }

    fn check_end(&self, count: u32, digest: &str) -> GenerateEnd {
        let mut own = TokenDigest::default();
        self.tokens.iter().for_each(|token| own.push(*token));
        if count as usize == self.tokens.len() && own.to_hex() == digest {
            GenerateEnd::Whole
        } else {
            GenerateEnd::Invalid(format!("the end says {count} tokens, digest {digest}"))
        }
    }
}

async fn read_problem(lines: crate::BodyLines) -> GenerateEnd {
    let Ok(answer) = lines.into_answer().await else {
        return GenerateEnd::Broken;
    };
    serde_json::from_slice(&answer.body).map_or_else(
        |e| GenerateEnd::Invalid(format!("the refusal is no problem document: {e}")),
        GenerateEnd::Problem,
    )
}
