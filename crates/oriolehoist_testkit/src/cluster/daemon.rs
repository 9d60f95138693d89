use {
    eyre::WrapErr,
    oriolehoist_daemon::{Daemon, Running},
    oriolehoist_protocol::{InstanceName, ZoneName},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// How a cluster's daemons run.
#[derive(Clone, Debug)]
pub enum DaemonMode {
    /// As processes of this program.
    Process(PathBuf),
    /// Inside this process, on threads of their own.
    Embedded,
}

/// One daemon of a cluster.
pub struct DaemonHandle {
    /// Its instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address that it connects from.
    pub ip: IpAddr,
    /// Where it listens for callers.
    pub caller_address: SocketAddr,
    /// Where it listens for operators.
    pub operator_address: SocketAddr,
    /// Where other daemons reach it.
    pub advertised_address: SocketAddr,
    pub(super) file: PathBuf,
    pub(super) mode: DaemonMode,
    pub(super) life: DaemonLife,
}

pub(super) enum DaemonLife {
    None,
    Process(Child),
    Embedded(Box<Daemon<Running>>),
}

impl DaemonHandle {
    /// Returns the name of the edge on which other daemons reach it.
    pub fn edge(&self) -> String {
        format!("daemon:{}", self.name)
    }

    /// Returns whether it was started and not killed since.
    pub fn is_alive(&self) -> bool {
        !matches!(self.life, DaemonLife::None)
    }

    /// Returns its process, if it runs as one.
    pub fn pid(&self) -> Option<u32> {
        match &self.life {
            DaemonLife::Process(child) => Some(child.id()),
            _ => None,
        }
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start(&mut self) -> eyre::Result<()> {
        self.life = match &self.mode {
            DaemonMode::Process(program) => {
                let log = self.file.with_extension("log");
                let log = File::options().create(true).append(true).open(log)?;
                let child = Command::new(program)
                    .arg(&self.file)
                    .stdin(Stdio::null())
                    .stdout(log.try_clone()?)
                    .stderr(log)
                    .spawn()
                    .wrap_err("can't start the daemon")?;
                DaemonLife::Process(child)
            }
            DaemonMode::Embedded => {
                let text = fs::read_to_string(&self.file)?;
                let file = oriolehoist_settings::parse_instance(&text)?;
                DaemonLife::Embedded(Box::new(Daemon::configure(file)?.start().await?))
            }
        };
        Ok(())
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        match std::mem::replace(&mut self.life, DaemonLife::None) {
            DaemonLife::Process(mut child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            DaemonLife::Embedded(daemon) => drop(daemon),
            DaemonLife::None => {}
        }
    }

    /// Freezes or thaws it, as a paused instance. Only for a process.
    pub fn freeze(&self, frozen: bool) {
        let signal = match frozen {
            true => Signal::STOP,
            false => Signal::CONT,
        };
        self.signal(signal);
    }

    /// Asks it to stop gracefully, and waits until it has.
    ///
    /// # Errors
    ///
    /// Returns an error if it ended with a failure.
    pub async fn stop(&mut self) -> eyre::Result<()> {
        self.signal(Signal::TERM);
        match std::mem::replace(&mut self.life, DaemonLife::None) {
            DaemonLife::Process(mut child) => {
                let waiting = tokio::task::spawn_blocking(move || child.wait());
                let status: ExitStatus = waiting.await??;
                eyre::ensure!(status.success(), "the daemon ended with {status}");
            }
            DaemonLife::Embedded(daemon) => daemon.stop().await,
            DaemonLife::None => {}
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = match &self.life {
            DaemonLife::Process(child) => i32::try_from(child.id()).ok().and_then(Pid::from_raw),
            _ => None,
        };
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for DaemonHandle {
    fn drop(&mut self) {
        self.kill();
    }
}
