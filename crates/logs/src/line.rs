//! The format of a log line.

use std::fmt::Write;
use std::time::SystemTime;

use log::kv::{Error, Key, Value, VisitSource};
use log::Record;

struct KeyValueWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let unquoted = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        match unquoted {
            true => write!(self.0, " {key}={text}")?,
            false => write!(self.0, " {key}={text:?}")?,
        }
        Ok(())
    }
}

/// Formats a record as one line, without the line feed.
pub fn format_line(time: SystemTime, record: &Record<'_>) -> String {
    let mut line = format!(
        "{} {} {}",
        humantime::format_rfc3339_millis(time),
        record.level(),
        record.target()
    );
    if let Err(error) = record.key_values().visit(&mut KeyValueWriter(&mut line)) {
        // If a value can't be formatted, the message is still logged.
        let _ = write!(line, " unformatted={error:?}");
    }
    let _ = write!(line, " {:?}", record.args().to_string());
    line
}
