//! A process of a site.

use std::path::PathBuf;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use pistachioyard_standins::{Child, Launcher};

/// Holds a process that can be killed and started again.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) program: PathBuf,
    pub(crate) args: Vec<String>,
    pub(crate) child: Option<Child>,
}

impl Process {
    /// Starts the process; kills the one that runs, if any.
    pub(crate) fn start(&mut self, launcher: &Launcher) {
        self.child = None;
        let child = launcher.spawn(&self.name, &self.program, &self.args);
        self.child = Some(child.expect("the process starts"));
    }

    /// Returns the program and its arguments, for tests that start it themselves.
    pub(crate) fn command(&self) -> (PathBuf, Vec<String>) {
        (self.program.clone(), self.args.clone())
    }

    /// Kills the process if it runs.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
        }
    }

    /// Sends a signal to the process, which must run.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process was started");
        let pid = Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("the signal is sent");
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
