//! Values of the strict binary protocol.

use crate::ThriftError;
use bytes::{BufMut, BytesMut};

/// Types of values.
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

/// Structs, maps and lists within one another that are skipped; deeper ones are an error.
const DEPTH: u32 = 16;

/// Reads values from the bytes of one message.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    /// Bytes not read yet.
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

    /// A length and so many bytes.
    pub fn binary(&mut self) -> Result<&'a [u8], ThriftError> {
        let told = self.i32()?;
        let length = usize::try_from(told).map_err(|_| ThriftError::Length(told))?;
        if length > self.bytes.len() {
            return Err(ThriftError::Length(told));
        }
        self.take(length)
    }

    pub fn text(&mut self) -> Result<&'a str, ThriftError> {
        std::str::from_utf8(self.binary()?).map_err(|_| ThriftError::InvalidUtf8)
    }

    /// The next field of a struct: its type and id; `None` at the end.
    pub fn field(&mut self) -> Result<Option<(u8, i16)>, ThriftError> {
        match self.byte()? {
            STOP => Ok(None),
            kind => Ok(Some((kind, self.i16()?))),
        }
    }

    /// The head of a map: types of key and value, and how many there are.
    pub fn map(&mut self) -> Result<(u8, u8, i32), ThriftError> {
        Ok((self.byte()?, self.byte()?, self.i32()?))
    }

    /// Reads over a value.
    pub fn skip(&mut self, kind: u8) -> Result<(), ThriftError> {
        self.skip_at(kind, 0)
    }

    fn skip_at(&mut self, kind: u8, depth: u32) -> Result<(), ThriftError> {
        if depth > DEPTH {
            return Err(ThriftError::Depth);
        }
        match kind {
            BOOL | BYTE => self.take(1).map(drop),
            I16 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            DOUBLE | I64 => self.take(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => {
                while let Some((kind, _)) = self.field()? {
                    self.skip_at(kind, depth + 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key, value, count) = self.map()?;
                self.skip_all(count, &[key, value], depth)
            }
            SET | LIST => {
                let kind = self.byte()?;
                let count = self.i32()?;
                self.skip_all(count, &[kind], depth)
            }
            other => Err(ThriftError::Type(other)),
        }
    }

    /// Each entry holds a byte at least, so a count past the bytes left is a lie and no work is done for it.
    fn skip_all(&mut self, count: i32, kinds: &[u8], depth: u32) -> Result<(), ThriftError> {
        let entries =
            usize::try_from(count).ok().filter(|c| c.saturating_mul(kinds.len()) <= self.remaining());
        for _ in 0..entries.ok_or(ThriftError::Length(count))? {
            for kind in kinds {
                self.skip_at(*kind, depth + 1)?;
            }
        }
        Ok(())
    }
}

pub fn put_binary(out: &mut BytesMut, bytes: &[u8]) {
    out.put_i32(bytes.len() as i32);
    out.put_slice(bytes);
}

pub fn put_field(out: &mut BytesMut, kind: u8, id: i16) {
    out.put_u8(kind);
    out.put_i16(id);
}

/// A map of texts.
pub fn put_map<'a>(out: &mut BytesMut, entries: &[(&'a str, &'a str)]) {
    out.put_u8(STRING);
    out.put_u8(STRING);
    out.put_i32(entries.len() as i32);
    for (name, value) in entries {
        put_binary(out, name.as_bytes());
        put_binary(out, value.as_bytes());
    }
}
