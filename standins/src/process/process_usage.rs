use {
    anyhow::Context,
    rustix::param::clock_ticks_per_second,
    std::{fs, time::Duration},
};

/// Fields of `/proc/PID/stat` after the command's name (`proc_pid_stat(5)`).
const USER_TICKS_INDEX: usize = 11;
const SYSTEM_TICKS_INDEX: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time, in user space and in the kernel.
    pub processor_time: Duration,
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// # Errors
    /// The process is gone, or the machine shows no such figures.
    pub fn of(pid: u32) -> anyhow::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = stat.rsplit_once(") ").context("the fields of stat")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let read_ticks = |index: usize| -> anyhow::Result<u64> {
            Ok(fields.get(index).context("a field of stat")?.parse()?)
        };
        let ticks = read_ticks(USER_TICKS_INDEX)? + read_ticks(SYSTEM_TICKS_INDEX)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.context("VmRSS in status")?;
        let resident = resident.trim().trim_end_matches(" kB");
        Ok(Self {
            processor_time: Duration::from_millis(ticks * 1_000 / clock_ticks_per_second()),
            resident_kib: resident.parse()?,
        })
    }
}
