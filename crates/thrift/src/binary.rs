//! Reading and writing values of the strict binary protocol.

use crate::ThriftError;
use bytes::{BufMut, BytesMut};

// Type codes of values on the wire.
pub const STOP: u8 = 0;
pub const BOOL: u8 = 2;
pub const BYTE: u8 = 3;
pub const DOUBLE: u8 = 4;
pub const I16: u8 = 6;
pub const I32: u8 = 8;
pub const I64: u8 = 10;
pub const STRING: u8 = 11;
pub const STRUCT: u8 = 12;
pub const MAP: u8 = 13;
pub const SET: u8 = 14;
pub const LIST: u8 = 15;

/// Maximum nesting of structs, maps and lists in a skipped value; deeper nesting is an error.
const MAX_DEPTH: u32 = 16;

/// Reads values from the bytes of one message. Unless stated otherwise, methods fail with
/// [`ThriftError::Truncated`] if too few bytes remain.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    /// Number of bytes that have not been read yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], ThriftError> {
        let (taken, rest) = self.bytes.split_at_checked(count).ok_or(ThriftError::Truncated)?;
        self.bytes = rest;
        Ok(taken)
    }

    fn chunk<const N: usize>(&mut self) -> Result<[u8; N], ThriftError> {
        let (taken, rest) = self.bytes.split_first_chunk::<N>().ok_or(ThriftError::Truncated)?;
        self.bytes = rest;
        Ok(*taken)
    }

    pub fn byte(&mut self) -> Result<u8, ThriftError> {
        self.chunk::<1>().map(|[b]| b)
    }

    pub fn i16(&mut self) -> Result<i16, ThriftError> {
        self.chunk().map(i16::from_be_bytes)
    }

    pub fn i32(&mut self) -> Result<i32, ThriftError> {
        self.chunk().map(i32::from_be_bytes)
    }

    /// Reads a length and as many bytes. Fails with [`ThriftError::Length`] if the
    /// length is negative or exceeds the remaining bytes.
    pub fn binary(&mut self) -> Result<&'a [u8], ThriftError> {
        let declared = self.i32()?;
        let length = usize::try_from(declared).map_err(|_| ThriftError::Length(declared))?;
        if length > self.bytes.len() {
            return Err(ThriftError::Length(declared));
        }
        self.take(length)
    }

    pub fn text(&mut self) -> Result<&'a str, ThriftError> {
        std::str::from_utf8(self.binary()?).map_err(|_| ThriftError::InvalidUtf8)
    }

    /// Reads the header of the next field of a struct: its type and id. `None` at the end of the struct.
    pub fn field(&mut self) -> Result<Option<(u8, i16)>, ThriftError> {
        match self.byte()? {
            STOP => Ok(None),
            type_code => Ok(Some((type_code, self.i16()?))),
        }
    }

    /// Reads the header of a map: the types of key and value, and the number of entries.
    pub fn map(&mut self) -> Result<(u8, u8, i32), ThriftError> {
        Ok((self.byte()?, self.byte()?, self.i32()?))
    }

    /// Skips a value of the type `type_code`.
    pub fn skip(&mut self, type_code: u8) -> Result<(), ThriftError> {
        self.skip_at(type_code, 0)
    }

    fn skip_at(&mut self, type_code: u8, depth: u32) -> Result<(), ThriftError> {
        if depth > MAX_DEPTH {
            return Err(ThriftError::Depth);
        }
        match type_code {
            BOOL | BYTE => self.take(1).map(drop),
            I16 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            DOUBLE | I64 => self.take(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => {
                while let Some((type_code, _)) = self.field()? {
                    self.skip_at(type_code, depth + 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key, value, count) = self.map()?;
                self.skip_elements(count, &[key, value], depth)
            }
            SET | LIST => {
                let type_code = self.byte()?;
                let count = self.i32()?;
                self.skip_elements(count, &[type_code], depth)
            }
            other => Err(ThriftError::Type(other)),
        }
    }

    /// Skips `count` entries with values of the types `type_codes`. Each value takes at least one byte, so a count
    /// beyond the remaining bytes is invalid and is rejected before any work is done.
    fn skip_elements(&mut self, count: i32, type_codes: &[u8], depth: u32) -> Result<(), ThriftError> {
        let entries =
            usize::try_from(count).ok().filter(|c| c.saturating_mul(type_codes.len()) <= self.remaining());
        for _ in 0..entries.ok_or(ThriftError::Length(count))? {
            for type_code in type_codes {
                self.skip_at(*type_code, depth + 1)?;
            }
        }
        Ok(())
    }
}

pub fn put_binary(out: &mut BytesMut, bytes: &[u8]) {
    out.put_i32(bytes.len() as i32);
    out.put_slice(bytes);
}

pub fn put_field(out: &mut BytesMut, type_code: u8, id: i16) {
    out.put_u8(type_code);
    out.put_i16(id);
}

/// Writes a map of strings.
pub fn put_map<'a>(out: &mut BytesMut, entries: &[(&'a str, &'a str)]) {
    out.put_u8(STRING);
    out.put_u8(STRING);
    out.put_i32(entries.len() as i32);
    for (name, value) in entries {
        put_binary(out, name.as_bytes());
        put_binary(out, value.as_bytes());
    }
}
