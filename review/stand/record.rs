//! What was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use crate::http::Outcome;

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub path: String,
}

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            runs: Mutex::default(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// The same, also to the standard output.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    pub fn ran(&self, worker: &str, id: &str, path: &str, tenant: &str) {
        self.note(&format!("{worker} runs {id} {path} tenant={tenant}"));
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            path: path.to_owned(),
        });
    }

    pub fn answered(&self, machine: &str, id: &str, outcome: &Outcome) {
        self.note(&format!("{machine} answers {id}: {}", outcome.text()));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
