//! What the operating system says of this process.

use {
    anyhow::{Context, Result},
    std::{fs, time::Duration},
};

/// Time of one tick of the processor's clock in `/proc`.
const TICK: Duration = Duration::from_millis(10);

/// Fields of `/proc/self/stat` after the name: time in user mode and in the system.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Returns the processor time used so far.
///
/// # Errors
///
/// Returns an error where `/proc` doesn't tell.
pub fn processor_time() -> Result<Duration> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = text.rsplit_once(')').context("no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u32> {
        let field = fields.get(index).context("a field is missing")?;
        Ok(field.parse()?)
    };
    Ok(TICK * (ticks(USER_FIELD)? + ticks(SYSTEM_FIELD)?))
}
