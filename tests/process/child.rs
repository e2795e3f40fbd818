//! Spawns and signals one child process.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};

/// A child process that is killed when this handle is dropped.
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
            .join(format!("{name}-{:08x}.log", random_number()));
        let file = File::create(&log).expect("log file is created");
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
        let stdout = self.child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("stdout is readable");
        let address = line.trim().strip_prefix("listening ");
        let address = address.unwrap_or_else(|| panic!("{line:?}"));
        address.parse().expect("address parses")
    }

    /// Kills the process, as the loss of its machine would.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("process has ended");
    }

    /// Freezes the process with SIGSTOP; its sockets still accept bytes.
    ///
    /// Returns once the process is stopped: on a busy machine it could
    /// otherwise respond to one more request after the signal was sent.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        let id = Pid::from_child(&self.child);
        waitpid(Some(id), WaitOptions::UNTRACED).expect("process is stopped");
        self.frozen = true;
    }

    /// Continues a frozen process with SIGCONT.
    pub fn thaw(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Asks the process to stop gracefully, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The exit status of the process if it has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("process status is readable")
    }

    /// The output of the process on its standard error.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("process exists");
    }

    fn pid(&self) -> Pid {
        let id = i32::try_from(self.child.id()).expect("process id is valid");
        Pid::from_raw(id).expect("process id is valid")
    }
}

impl Drop for ChildProcess {
    /// Kills the process and waits for it, so that none outlives its test.
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

/// Returns a random number, so that the log files of concurrent tests differ.
fn random_number() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}
