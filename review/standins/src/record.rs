//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the seconds since the start.
    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer has panicked");
        let _ = writeln!(file, "{:9.3} {text}", self.at());
    }

    /// Writes a line here and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.at());
        self.line(text);
        let _ = self.file.lock().expect("no writer has panicked").flush();
    }
}
