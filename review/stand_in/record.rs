//! The record of a run: one line per event, with the milliseconds since the start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to the record file and to standard output; clones share the file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file and starts the clock.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line to the file only.
    pub fn event(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.now(), text.as_ref());
    }

    /// Writes a line to the file and to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.event(text);
    }
}
