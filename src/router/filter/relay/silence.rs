//! Keeps a silent path while another one is looked for.
//!
//! An endpoint may be silent for a second and then go on, so silence alone ends no answer. The
//! path that answers first is kept.

use std::pin::pin;

use futures_util::future::{Either, select};
use pistachioyard_platform::EventSplitter;

use super::path_run::{OpenResult, ReadResult};
use super::recover::{NotReplaced, PathLeft, ReplacementProgress};
use super::{PathRun, Relay};
use crate::prelude::*;
use crate::router::filter::Call;

/// Says which path answered first.
enum Answered<T> {
    /// The silent path, with this result.
    Silent(T),
    /// The path that replaces it.
    Replacement(OpenResult),
}

impl Relay {
    /// Waits for the head of the answer on the silent path, and meanwhile sends the request
    /// along another one.
    pub(super) async fn outlast_silent_start(&mut self, why: &str) -> OpenResult {
        let Some(mut silent) = self.path_run.take() else {
            return OpenResult::Lost("there is no path".to_owned());
        };
        let call = self.call.clone();
        silent.watch_silent(&call);
        let silent_at = Instant::now();
        let progress = ReplacementProgress::default();
        let answered = {
            let waiting = pin!(silent.outwait(&call));
            let replacing = pin!(self.replace(why, PathLeft::Silent, &progress));
            match select(waiting, replacing).await {
                Either::Left((opened @ (OpenResult::Stream(..) | OpenResult::Complete(..)), _)) => {
                    Answered::Silent(opened)
                }
                Either::Left((failed, replacing)) => match progress.wait_for(replacing).await {
                    Some(opened) => Answered::Replacement(opened),
                    None => Answered::Silent(failed),
                },
                Either::Right((Ok(opened), _)) => Answered::Replacement(opened),
                Either::Right((Err(_), waiting)) => Answered::Silent(waiting.await),
            }
        };
        match answered {
            Answered::Silent(opened) => {
                self.record_opened(&opened, &silent);
                if matches!(opened, OpenResult::Stream(..)) {
                    self.keep(silent, why, silent_at);
                }
                opened
            }
            Answered::Replacement(opened) => opened,
        }
    }

    /// Waits for the silent path to go on, and meanwhile sends the request along another one.
    pub(super) async fn outlast_silence(&mut self, why: &str) -> ReadResult {
        let Some(mut silent) = self.path_run.take() else {
            return ReadResult::Lost(None, "there is no path".to_owned());
        };
        let mut splitter = std::mem::take(&mut self.splitter);
        let call = self.call.clone();
        silent.watch_silent(&call);
        let silent_at = Instant::now();
        let progress = ReplacementProgress::default();
        let answered = {
            let waiting = pin!(async {
                let left = call.time_left().unwrap_or_default();
                let read = read_event(&mut silent, &call, &mut splitter);
                let read = tokio::time::timeout(left, read).await;
                read.unwrap_or_else(|_| {
                    ReadResult::Lost(None, "the deadline has passed".to_owned())
                })
            });
            let replacing = pin!(async {
                // The caller has the head of a stream, so it can be passed no other answer.
                match self.replace(why, PathLeft::Silent, &progress).await {
                    Ok(OpenResult::Complete(status, ..)) => Err(NotReplaced::Failure(status)),
                    replaced => replaced,
                }
            });
            match select(waiting, replacing).await {
                Either::Left((lost @ (ReadResult::Lost(..) | ReadResult::TooLong(..)), other)) => {
                    match progress.wait_for(other).await {
                        Some(opened) => Answered::Replacement(opened),
                        None => Answered::Silent(lost),
                    }
                }
                Either::Left((read, _)) => Answered::Silent(read),
                Either::Right((Ok(opened), _)) => Answered::Replacement(opened),
                Either::Right((Err(_), waiting)) => Answered::Silent(waiting.await),
            }
        };
        match answered {
            Answered::Silent(lost @ (ReadResult::Lost(..) | ReadResult::TooLong(..))) => lost,
            Answered::Silent(read) => {
                self.splitter = splitter;
                self.keep(silent, why, silent_at);
                read
            }
            Answered::Replacement(_) => ReadResult::Data,
        }
    }

    /// Makes a path that goes on after a silence the current one again.
    fn keep(&mut self, path_run: PathRun, why: &str, silent_at: Instant) {
        self.path_run = Some(path_run);
        self.stall_detector.begin(Instant::now());
        self.record.log_silence_over(why, silent_at.elapsed());
    }
}

/// Reads until an event is complete or the answer ends. Single bytes do not show that a stalled
/// stream goes on.
async fn read_event(
    path_run: &mut PathRun,
    call: &Call,
    splitter: &mut EventSplitter,
) -> ReadResult {
    loop {
        path_run.wait_for_memory(splitter).await;
        match path_run.read(call, splitter).await {
            ReadResult::Data if !splitter.has_event() => {}
            read => return read,
        }
    }
}
