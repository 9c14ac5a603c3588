use {
    anyhow::Context,
    rustix::param::clock_ticks_per_second,
    std::{fs, time::Duration},
};

/// Indices of fields of `/proc/PID/stat` after the command name (`proc_pid_stat(5)`); both fields
/// are in clock ticks.
const USER_TICKS_INDEX: usize = 11;
const SYSTEM_TICKS_INDEX: usize = 12;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Time in user space and in the kernel.
    pub processor_time: Duration,
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// # Errors
    /// The process does not exist, or `/proc` lacks a field.
    pub fn of(pid: u32) -> anyhow::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = stat
            .rsplit_once(") ")
            .context("no command name in /proc/PID/stat")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let read_ticks = |index: usize| -> anyhow::Result<u64> {
            Ok(fields
                .get(index)
                .context("too few fields in /proc/PID/stat")?
                .parse()?)
        };
        let ticks = read_ticks(USER_TICKS_INDEX)? + read_ticks(SYSTEM_TICKS_INDEX)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.context("no VmRSS in /proc/PID/status")?;
        let resident = resident.trim().trim_end_matches(" kB");
        Ok(Self {
            processor_time: Duration::from_millis(ticks * 1_000 / clock_ticks_per_second()),
            resident_kib: resident.parse()?,
        })
    }
}
