//! A test client that verifies the answers of entries.

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

/// Describes how an answer ended, as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerateEnd {
    /// The answer is complete: the count and digest in its end event match the tokens received.
    Complete,
    /// The entry returned a problem document.
    Problem(Problem),
    /// The connection closed before the answer was complete.
    Broken,
    /// The answer violates the protocol; the text says how.
    Invalid(String),
}

/// Holds an answer and the times at which its parts arrived.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The tokens, in order.
    pub tokens: Vec<u64>,
    /// The resume token of the first event.
    pub resume: Option<String>,
    /// How the answer ended.
    pub end: GenerateEnd,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When each token arrived.
    pub token_times: Vec<Instant>,
}

impl Answer {
    /// Returns whether the answer is complete and every token is correct.
    pub fn is_correct(&self, deployment: Deployment, req: &GenerateRequest) -> bool {
        self.end == GenerateEnd::Complete && self.tokens == expected_tokens(deployment, req)
    }
}

/// Computes the correct tokens without the router.
fn expected_tokens(deployment: Deployment, req: &GenerateRequest) -> Vec<u64> {
    reference_tokens(
        deployment.model(),
        deployment.version(),
        &req.prompt,
        deployment.layers(),
        req.max_tokens,
    )
}

/// Builds a request for a workspace.
///
/// # Errors
///
/// Fails when the workspace is not a valid name.
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

/// Sends requests to entries and checks their answers.
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
    /// Creates a caller that waits up to `request_timeout` for an answer to begin.
    pub fn new(request_timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(HttpClientConfig {
                request_timeout,
                connect_timeout: Duration::from_millis(500),
                ..HttpClientConfig::default()
            }),
        }
    }

    /// Requests an answer from an entry.
    ///
    /// `on_token` receives the number of tokens so far.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        req: &GenerateRequest,
        mut on_token: impl FnMut(usize),
    ) -> Answer {
        let on_progress = |answer: &Answer| on_token(answer.tokens.len());
        self.generate_with_progress(entry, req, on_progress).await
    }

    /// Requests an answer from an entry.
    ///
    /// `on_progress` receives the partial answer after the start event and after each token.
    pub async fn generate_with_progress(
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
        let body = serde_json::to_vec(req).expect("a request serializes to JSON");
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
            if let Some(end) = answer.apply_event(event) {
                answer.end = end;
                break;
            }
            on_progress(&answer);
        }
        answer
    }

    /// Requests an answer with failover: tries the entries in turn until one completes
    /// or refuses it. An answer that was cut off resumes at the next entry.
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
        last.expect("at least one entry is given")
    }

    /// Sends an operation to an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer; a problem document counts as an answer.
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
    fn apply_event(&mut self, event: StreamEvent) -> Option<GenerateEnd> {
        match event {
            StreamEvent::Start { resume, .. } => {
                self.resume = Some(resume);
                None
            }
            StreamEvent::Token { index, token } => {
                if index as usize != self.tokens.len() {
                    let why = format!("got token index {index}, expected {}", self.tokens.len());
                    return Some(GenerateEnd::Invalid(why));
                }
                self.tokens.push(token);
                self.token_times.push(Instant::now());
                None
            }
            StreamEvent::End { count, digest, .. } => Some(self.verify_end(count, &digest)),
            StreamEvent::Error(problem) => Some(GenerateEnd::Problem(problem)),
        }
    }

    fn verify_end(&self, count: u32, digest: &str) -> GenerateEnd {
        let mut computed = TokenDigest::default();
        self.tokens.iter().for_each(|token| computed.push(*token));
        if count as usize == self.tokens.len() && computed.to_hex() == digest {
            GenerateEnd::Complete
        } else {
            GenerateEnd::Invalid(format!(
                "the end event does not match the tokens: {count} tokens, digest {digest}"
            ))
        }
    }
}

async fn read_problem(lines: crate::BodyLines) -> GenerateEnd {
    let Ok(answer) = lines.into_answer().await else {
        return GenerateEnd::Broken;
    };
    serde_json::from_slice(&answer.body).map_or_else(
        |e| GenerateEnd::Invalid(format!("the refusal is not a problem document: {e}")),
        GenerateEnd::Problem,
    )
}
