//! Reads files that an operator names.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use crate::client::MAX_ANSWER_BYTES;

/// The largest file that is read, in bytes; no entry reads a longer answer of the platform.
const MAX_FILE_BYTES: u64 = MAX_ANSWER_BYTES as u64;

/// Says why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FileError {
    /// The file is missing, is none or may not be read.
    #[error("cannot read {}: {why}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's reason.
        why: std::io::Error,
    },
    /// The file is too long.
    #[error("{} is longer than {MAX_FILE_BYTES} bytes", file.display())]
    TooLong {
        /// The file.
        file: PathBuf,
    },
    /// The file holds bytes that are no text.
    #[error("{} is no text in UTF-8", file.display())]
    NoText {
        /// The file.
        file: PathBuf,
    },
    /// The file is not in the format.
    #[error("{} is no JSON: {why}", file.display())]
    NoJson {
        /// The file.
        file: PathBuf,
        /// The parser's reason.
        why: serde_json::Error,
    },
}

/// Reads a file as text.
pub(crate) fn read_text(file: &Path) -> Result<String, FileError> {
    let unreadable = |why| FileError::Unreadable {
        file: file.to_owned(),
        why,
    };
    let opened = File::open(file).map_err(unreadable)?;
    let mut content = Vec::new();
    // One byte more tells a file that is too long, also where it tells no length.
    let mut limited = opened.take(MAX_FILE_BYTES + 1);
    limited.read_to_end(&mut content).map_err(unreadable)?;
    if content.len() as u64 > MAX_FILE_BYTES {
        return Err(FileError::TooLong {
            file: file.to_owned(),
        });
    }
    String::from_utf8(content).map_err(|_| FileError::NoText {
        file: file.to_owned(),
    })
}

/// Reads a file as JSON.
pub(crate) fn read_json(file: &Path) -> Result<serde_json::Value, FileError> {
    let text = read_text(file)?;
    serde_json::from_str(&text).map_err(|why| FileError::NoJson {
        file: file.to_owned(),
        why,
    })
}
