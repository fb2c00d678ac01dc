//! Finds the text of a field in a JSON object, without decoding it.

/// Returns the text of the value of a field of an object.
pub fn field<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = skip_space(object, 0);
    if object.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(object, at + 1);
    while object.get(at) == Some(&b'"') {
        let key_end = skip_value(object, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(object, key_end);
        if object.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(object, at + 1);
        let end = skip_value(object, start)?;
        if key == name.as_bytes() {
            return Some(&object[start..end]);
        }
        at = skip_space(object, end);
        if object.get(at) != Some(&b',') {
            return None;
        }
        at = skip_space(object, at + 1);
    }
    None
}

/// Returns the text of a string field, which has no escapes.
pub fn text(object: &[u8], name: &str) -> Option<String> {
    let value = field(object, name)?;
    let inner = value.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    Some(String::from_utf8_lossy(inner).into_owned())
}

pub fn number(object: &[u8], name: &str) -> Option<u64> {
    std::str::from_utf8(field(object, name)?).ok()?.parse().ok()
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_value(text: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = start;
    loop {
        match text.get(at)? {
            b'"' => {
                at += 1;
                while *text.get(at)? != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth > 0 => {
                depth -= 1;
                at += 1;
            }
            b',' | b'}' | b']' if depth == 0 => return Some(at),
            _ => at += 1,
        }
        if depth == 0 && (at == text.len() || matches!(text[at - 1], b'"' | b'}' | b']')) {
            return Some(at);
        }
    }
}
