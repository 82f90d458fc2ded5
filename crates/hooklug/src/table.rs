//! Formatting of text tables; each column is as wide as its longest cell.

/// A table with a header.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the title and the table as text, or `(none)` if the table has no rows.
    pub(crate) fn render(&self, title: &str) -> String {
        if self.rows.len() == 1 {
            return format!("{title}\n  (none)\n\n");
        }
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows.iter().filter_map(|r| r.get(column)).map(|c| c.chars().count()).max()
        };
        let widths: Vec<usize> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
        let mut text = format!("{title}\n");
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(&format!("  {}\n", cells.join("  ").trim_end()));
        }
        text.push('\n');
        text
    }
}

/// Formats an optional value; a missing one is shown as a dash.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}
