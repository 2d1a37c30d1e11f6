//! A small reader of JSON.

use std::collections::BTreeMap;

pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List,
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'"' => self.text().map(Json::Text),
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.next()? == b'}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    self.next()?;
                    let key = self.text()?;
                    if self.next()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    let value = self.value()?;
                    fields.insert(key, value);
                    let end = self.next()?;
                    self.at += 1;
                    match end {
                        b',' => {}
                        b'}' => return Some(Json::Object(fields)),
                        _ => return None,
                    }
                }
            }
            b'[' => {
                self.at += 1;
                if self.next()? == b']' {
                    self.at += 1;
                    return Some(Json::List);
                }
                loop {
                    self.value()?;
                    let end = self.next()?;
                    self.at += 1;
                    match end {
                        b',' => {}
                        b']' => return Some(Json::List),
                        _ => return None,
                    }
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace())
                {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let character = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
