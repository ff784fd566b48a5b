//! A page in one file: text, tables and plots, with nothing to load from elsewhere.

use super::table::Table;

const STYLE: &str = "\
body{font:15px/1.5 system-ui,sans-serif;color:#222;background:#f5f6f7;margin:0}\
main{max-width:1000px;margin:0 auto;padding:24px}\
h1{font-size:24px;margin:0}h2{font-size:17px;margin:28px 0 8px}\
p{margin:6px 0}p.note{color:#555}\
section{background:#fff;border:1px solid #dde1e4;border-radius:6px;padding:12px 16px;margin:8px 0;overflow-x:auto}\
table{border-collapse:collapse;font-variant-numeric:tabular-nums}\
td,th{padding:3px 14px 3px 0;text-align:right;white-space:nowrap}\
td:first-child,th:first-child{text-align:left}th{color:#555;font-weight:600;border-bottom:1px solid #dde1e4}\
svg{width:100%;height:auto;display:block}\
li{margin:2px 0}.bad{color:#b33a00;font-weight:600}.good{color:#007a58;font-weight:600}\
code{font-family:ui-monospace,monospace;overflow-wrap:anywhere}";

/// A page under construction. All texts are escaped.
#[derive(Debug)]
pub struct Page {
    title: String,
    body: String,
}

/// What a text means for the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tone {
    Plain,
    Note,
    Good,
    Bad,
}

impl Page {
    pub fn new(title: &str) -> Self {
        Page { title: escape(title), body: format!("<h1>{}</h1>\n", escape(title)) }
    }

    pub fn heading(&mut self, text: &str) -> &mut Self {
        self.body += &format!("<h2>{}</h2>\n", escape(text));
        self
    }

    pub fn text(&mut self, text: &str, tone: Tone) -> &mut Self {
        let class = match tone {
            Tone::Plain => "",
            Tone::Note => " class=\"note\"",
            Tone::Good => " class=\"good\"",
            Tone::Bad => " class=\"bad\"",
        };
        self.body += &format!("<p{class}>{}</p>\n", escape(text));
        self
    }

    pub fn list(&mut self, items: impl IntoIterator<Item = String>) -> &mut Self {
        self.body += "<ul>\n";
        for item in items {
            self.body += &format!("<li>{}</li>\n", escape(&item));
        }
        self.body += "</ul>\n";
        self
    }

    pub fn code(&mut self, text: &str) -> &mut Self {
        self.body += &format!("<p><code>{}</code></p>\n", escape(text));
        self
    }

    pub fn table(&mut self, table: &Table) -> &mut Self {
        self.body += "<section><table>\n";
        for (i, row) in table.rows().iter().enumerate() {
            let tag = if i == 0 { "th" } else { "td" };
            let cells: String = row.iter().map(|c| format!("<{tag}>{}</{tag}>", escape(c))).collect();
            self.body += &format!("<tr>{cells}</tr>\n");
        }
        self.body += "</table></section>\n";
        self
    }

    /// `svg` goes in as it is.
    pub fn plot(&mut self, svg: &str) -> &mut Self {
        self.body += &format!("<section>{svg}</section>\n");
        self
    }

    /// The page's text.
    pub fn finish(&self) -> String {
        format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <meta name=\"viewport\" content=\"width=device-width\"><title>{}</title>\
             <style>{STYLE}</style></head>\n<body><main>\n{}</main></body></html>\n",
            self.title, self.body
        )
    }
}

fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            c => out.push(c),
        }
    }
    out
}

#[cfg(test)]
mod tests;
