//! A progress bar over elapsed seconds, with log lines printed above it.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinHandle;

use crate::faults::RunProgress;

const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// A progress bar that advances with time and is cleared when it is dropped.
pub(super) struct TimedProgressBar {
    bar: ProgressBar,
    updater: JoinHandle<()>,
}

impl TimedProgressBar {
    pub(super) fn start(what: &str, time: Duration) -> Self {
        let bar = ProgressBar::new(time.as_secs());
        if let Ok(style) = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} s {msg}") {
            bar.set_style(style);
        }
        bar.set_prefix(what.to_owned());
        let shown_bar = bar.clone();
        let updater = tokio::spawn(async move {
            loop {
                tokio::time::sleep(UPDATE_INTERVAL).await;
                shown_bar.set_position(
                    shown_bar.elapsed().as_secs().min(shown_bar.length().unwrap_or(0)),
                );
            }
        });
        Self { bar, updater }
    }
}

impl RunProgress for TimedProgressBar {
    fn report_line(&self, line: &str) {
        if self.bar.is_hidden() {
            println!("{line}");
        } else {
            self.bar.println(line);
        }
    }
}

impl Drop for TimedProgressBar {
    fn drop(&mut self) {
        self.updater.abort();
        self.bar.finish_and_clear();
    }
}
