//! Logs panics. The standard output of a panic isn't a line of the log, and few installations keep it.

use std::{panic, thread};

/// Logs each panic of this process, also one that ends a single task only.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string);
        let place = place.unwrap_or_default();
        let message = info.payload_as_str().unwrap_or("no message");
        let thread = thread::current();
        let thread = thread.name().unwrap_or_default();
        log::error!(place, message, thread; "daemon.panicked");
    }));
}
