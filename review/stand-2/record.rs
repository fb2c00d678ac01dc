//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        let _ = file.flush();
    }
}
