//! JSON and base64, as far as the stand-ins need them.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        Parser { text, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text_of(&self, name: &str) -> &str {
        self.get(name).map_or("", Json::text)
    }

    pub fn number_of(&self, name: &str) -> u64 {
        self.get(name).map_or(0, Json::number)
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => {
                let mut fields = Vec::new();
                self.at += 1;
                while self.next()? != b'}' {
                    let key = self.string()?;
                    self.next()?;
                    self.at += 1;
                    fields.push((key, self.value()?));
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                while self.next()? != b']' {
                    items.push(self.value()?);
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                let is_part = |c: &u8| c.is_ascii_alphanumeric() || b"+-.".contains(c);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                if word.is_empty() {
                    return None;
                }
                Some(word.parse().map_or(Json::Other, Json::Number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.next()?;
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.text.get(self.at)?);
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let is_padding = index > part.len();
            let letter = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if is_padding { '=' } else { char::from(letter) });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for letter in text.bytes().filter(|letter| *letter != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == letter) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
