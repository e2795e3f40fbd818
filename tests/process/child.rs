//! One started process.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};

/// A process that ends when this handle is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
    frozen: bool,
}

impl ChildProcess {
    /// Starts `program`; its standard error goes to a file named `name`.
    pub fn spawn(program: &str, name: &str, arguments: &[&str]) -> Self {
        let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{:08x}.log", rand_number()));
        let file = File::create(&log).expect("a log file");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}"));
        Self { name: name.to_owned(), child, log, frozen: false }
    }

    /// Reads the line `listening ADDRESS` that a stand-in prints.
    pub fn listening(&mut self) -> SocketAddr {
        let stdout = self.child.stdout.take().expect("a piped stdout");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("listening ");
        let address = address.unwrap_or_else(|| panic!("{line:?}"));
        address.parse().expect("an address")
    }

    /// Ends the process at once, as the loss of its machine would.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the ended process");
    }

    /// Stops the process where it is; its sockets go on taking bytes.
    ///
    /// Returns once it stands still: on a busy machine it could else answer
    /// one more request after the signal was sent.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        let id = Pid::from_child(&self.child);
        waitpid(Some(id), WaitOptions::UNTRACED).expect("it has stopped");
        self.frozen = true;
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Asks the process to end itself gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has ended by itself, and with which status.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("the state of the process")
    }

    /// What the process has written to its standard error.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("a process of this test");
    }

    fn pid(&self) -> Pid {
        let id = i32::try_from(self.child.id()).expect("a process id");
        Pid::from_raw(id).expect("a process id")
    }
}

impl Drop for ChildProcess {
    /// Ends the process and waits, so that none outlives its test.
    fn drop(&mut self) {
        if self.child.kill().is_ok() {
            let _status = self.child.wait();
        }
        if std::thread::panicking() {
            eprintln!("--- {} wrote:\n{}", self.name, self.log_text());
        }
        let _removed = std::fs::remove_file(&self.log);
    }
}

/// A number that no other process or test of this machine has.
fn rand_number() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}
