//! Ends a stand-in when its launcher ends.

use std::io::{self, Read};
use std::process;
use std::thread;

/// Ends this process once its standard input closes.
///
/// That happens when the process that holds the other end of the pipe ends for any reason.
pub fn exit_when_stdin_closes() {
    thread::spawn(|| {
        let mut buf = [0; 256];
        while matches!(io::stdin().read(&mut buf), Ok(read) if read > 0) {}
        process::exit(0);
    });
}
