//! A progress bar over elapsed seconds, with log lines printed above it.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinHandle;

use crate::faults::ChaosProgress;

const TICK: Duration = Duration::from_millis(500);

/// A progress bar that advances with time and is cleared when it is dropped.
pub(super) struct TimeBar {
    bar: ProgressBar,
    ticking: JoinHandle<()>,
}

impl TimeBar {
    pub(super) fn start(what: &str, time: Duration) -> Self {
        let bar = ProgressBar::new(time.as_secs());
        if let Ok(style) = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} s {msg}") {
            bar.set_style(style);
        }
        bar.set_prefix(what.to_owned());
        let shown = bar.clone();
        let ticking = tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                shown.set_position(shown.elapsed().as_secs().min(shown.length().unwrap_or(0)));
            }
        });
        Self { bar, ticking }
    }
}

impl ChaosProgress for TimeBar {
    fn say(&self, line: &str) {
        if self.bar.is_hidden() {
            println!("{line}");
        } else {
            self.bar.println(line);
        }
    }
}

impl Drop for TimeBar {
    fn drop(&mut self) {
        self.ticking.abort();
        self.bar.finish_and_clear();
    }
}
