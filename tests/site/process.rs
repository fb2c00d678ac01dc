//! A process of a site.

use std::path::{Path, PathBuf};

use nix::sys::signal::Signal;
use pistachioyard_standins::{Child, Launcher};

use super::own_end::OwnEnd;

/// Holds a process that can be killed and started again.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) program: PathBuf,
    pub(crate) args: Vec<String>,
    pub(crate) child: Option<Child>,
    own_ends: Vec<OwnEnd>,
}

impl Process {
    /// Returns a process that has not been started.
    pub(crate) fn new(name: String, program: PathBuf, args: Vec<String>) -> Self {
        Self {
            name,
            program,
            args,
            child: None,
            own_ends: Vec::new(),
        }
    }

    /// Starts the process; kills the one that runs, if any.
    pub(crate) fn start(&mut self, launcher: &Launcher) {
        self.record_own_end();
        self.child = None;
        let child = launcher.spawn(&self.name, &self.program, &self.args);
        self.child = Some(child.expect("the process starts"));
    }

    /// Returns the program and its arguments, for tests that start it themselves.
    pub(crate) fn command(&self) -> (PathBuf, Vec<String>) {
        (self.program.clone(), self.args.clone())
    }

    /// Makes a shell run a script at the next start; `$0` is the program, and `args` follow.
    pub(crate) fn run_in_shell(&mut self, script: &str, args: Vec<String>) {
        let program = self.program.display().to_string();
        self.args = vec!["-c".to_owned(), script.to_owned(), program];
        self.args.extend(args);
        self.program = "sh".into();
    }

    /// Kills the process if it runs.
    pub(crate) fn kill(&mut self) {
        self.record_own_end();
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
        }
    }

    /// Returns all its ends so far that nothing requested.
    pub(crate) fn own_ends(&mut self) -> &[OwnEnd] {
        self.record_own_end();
        &self.own_ends
    }

    /// Returns and forgets its ends that nothing requested, for a caller that reports them.
    pub(crate) fn take_own_ends(&mut self) -> Vec<OwnEnd> {
        self.record_own_end();
        std::mem::take(&mut self.own_ends)
    }

    /// Hands the process over to a supervisor; what is left has its name and does not run.
    pub(crate) fn hand_over(&mut self) -> Self {
        let left = Self::new(self.name.clone(), self.program.clone(), self.args.clone());
        std::mem::replace(self, left)
    }

    /// Returns the most memory that it has held since its start, in bytes; none if it has ended.
    pub(crate) fn peak_memory_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak = peak.trim().strip_suffix("kB")?.trim().parse::<u64>();
        Some(peak.expect("the peak is a number") * 1_024)
    }

    /// Kills the process if it has held more memory than its machine has; this counts as an end by
    /// itself.
    pub(crate) fn limit_memory(&mut self, machine_bytes: u64) {
        let peak = self.peak_memory_bytes();
        if let Some(peak) = peak.filter(|peak| *peak > machine_bytes) {
            let child = self.running_child();
            let log = format!("{}\n{peak} bytes of {machine_bytes}", child.log());
            let (id, why) = (child.id(), "over the memory of its machine".to_owned());
            self.own_ends.push(OwnEnd::new(&self.name, id, why, &log));
            self.running_child().kill().expect("it can be killed");
        }
    }

    /// Returns the settings file of an entry.
    pub(crate) fn settings_file(&self) -> &Path {
        Path::new(&self.args[2])
    }

    /// Records the end of the child, if it has ended by itself and this is not yet recorded.
    pub(crate) fn record_own_end(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        let id = child.id();
        let status = child.own_end().expect("its state can be read");
        if let Some(status) = status
            && !self.own_ends.iter().any(|end| end.id == id)
        {
            let end = OwnEnd::new(&self.name, id, status.to_string(), &child.log());
            self.own_ends.push(end);
        }
    }

    /// Sends a signal to the process, which must run.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process was started");
        child.send(signal).expect("the signal is sent");
    }

    /// Returns the output of the process so far.
    pub(crate) fn log(&self) -> String {
        self.child.as_ref().map(Child::log).unwrap_or_default()
    }

    /// Returns whether the process was started and has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.is_running().expect("its state can be read"))
    }

    /// Returns the child process, which must have been started.
    pub(crate) fn running_child(&mut self) -> &mut Child {
        self.child.as_mut().expect("the process was started")
    }
}
