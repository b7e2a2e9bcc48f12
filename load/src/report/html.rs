//! One page that needs nothing beside itself.

use std::fmt::Write;

use crate::cell::Cell;

use super::Plot;
use super::text;

/// The style of the page.
const STYLE: &str = "body{font-family:sans-serif;max-width:900px;margin:2em auto;color:#222}\
pre{background:#f6f6f6;padding:1em;overflow-x:auto;font-size:12px}\
figure{margin:2em 0}figcaption{color:#555;font-size:14px}svg{max-width:100%;height:auto}";

/// Writes the page.
///
/// # Panics
///
/// Panics if a text can't grow, which the standard library rules out.
#[must_use]
pub fn html(cells: &[Cell], plots: &[Plot]) -> String {
    let mut page =
        String::from("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let head = format!("<title>snipeyoke-load report</title><style>{STYLE}</style></head><body>\n");
    page.push_str(&head);
    page.push_str("<h1>snipeyoke-load report</h1>\n");
    for plot in plots {
        write!(
            page,
            "<figure id=\"{}\">\n{}\n<figcaption>{}</figcaption></figure>\n",
            escape(&plot.name),
            plot.svg,
            escape(&plot.caption),
        )
        .expect("writing to a text does not fail");
    }
    let table = escape(&text(cells));
    let tail = format!("<h1>Tables</h1>\n<pre>{table}</pre>\n</body></html>\n");
    page.push_str(&tail);
    page
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
