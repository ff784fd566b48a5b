//! Resource usage of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Peak resident memory in KiB (VmHWM).
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// User and system CPU time since the start of the process.
    pub cpu: Duration,
    /// Time that its threads were runnable without a CPU, summed over all threads.
    pub waited: Duration,
}

impl Usage {
    /// Reads the usage of a process; `None` if it has exited.
    pub fn of(pid: u32) -> Option<Usage> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory_kb = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let memory_kb = memory_kb.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        Some(Usage { memory_kb, descriptors, cpu: cpu(pid)?, waited: waited(pid) })
    }
}

/// proc_pid_stat(5): utime and stime are the 14th and 15th field; the 2nd is in parentheses and may contain
/// any character.
fn cpu(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11).map(|f| f.parse::<u64>().ok());
    let ticks = fields.next()?? + fields.next()??;
    Some(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// Sums the second field of each thread's schedstat, in nanoseconds (Linux:
/// Documentation/scheduler/sched-stats.rst); zero if the kernel does not collect it.
fn waited(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of = |task: fs::DirEntry| -> Option<u64> {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse().ok()
    };
    Duration::from_nanos(tasks.filter_map(of).sum())
}

#[cfg(test)]
mod tests;
