//! Writes to standard output that wait no longer than they may.

use std::os::fd::AsFd;

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout};
use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::{RecordOwned, StringBuf};

use crate::prelude::*;

/// The most bytes of one write. A pipe that is ready takes as many without a wait.
const MAX_WRITE_BYTES: usize = 4_096;

/// Writes one line after another.
#[derive(Default)]
pub(super) struct Output {
    formatter: FullFormatter,
    line: StringBuf,
    written: usize,
}

impl Output {
    /// Makes a line the next that is written.
    pub(super) fn begin(&mut self, line: &RecordOwned) {
        self.line.clear();
        self.written = 0;
        let mut cx = FormatterContext::new();
        let formatted = self
            .formatter
            .format(&line.as_ref(), &mut self.line, &mut cx);
        if formatted.is_err() {
            self.give_up();
        }
    }

    /// Returns whether the line was written to its end, or dropped; waits for the reader until then,
    /// or without a limit.
    pub(super) fn write(&mut self, until: Option<Instant>) -> bool {
        let stdout = std::io::stdout();
        while let Some(rest) = self.line.as_bytes().get(self.written..)
            && !rest.is_empty()
        {
            let part = &rest[..rest.len().min(MAX_WRITE_BYTES)];
            let mut ready = [PollFd::new(stdout.as_fd(), PollFlags::POLLOUT)];
            let written = match nix::poll::poll(&mut ready, timeout(until)) {
                Ok(0) => return false,
                Ok(_) => nix::unistd::write(&stdout, part),
                Err(e) => Err(e),
            };
            match written {
                Ok(bytes) => self.written += bytes,
                Err(Errno::EAGAIN) => return false,
                Err(Errno::EINTR) => {}
                Err(_) => self.give_up(),
            }
        }
        true
    }

    /// Drops the line: the log itself cannot say that it fails.
    fn give_up(&mut self) {
        super::count_dropped();
        self.line.clear();
    }
}

fn timeout(until: Option<Instant>) -> PollTimeout {
    let Some(until) = until else {
        return PollTimeout::NONE;
    };
    let left = until.saturating_duration_since(Instant::now());
    PollTimeout::try_from(left).unwrap_or(PollTimeout::MAX)
}
