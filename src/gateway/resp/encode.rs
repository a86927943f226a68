//! Encoders for bulk strings and numbers.

const MAX_U64_DIGITS: usize = 20;

/// Appends `value` as a bulk string: its length, its bytes and CR LF.
pub fn put_bulk(out: &mut Vec<u8>, value: &[u8]) {
    put_number(out, b'$', value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a type byte, a decimal number and CR LF.
pub fn put_number(out: &mut Vec<u8>, type_byte: u8, number: usize) {
    out.push(type_byte);
    put_digits(out, number as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number in decimal, without a terminator.
pub fn put_digits(out: &mut Vec<u8>, mut number: u64) {
    let mut digits = [0u8; MAX_U64_DIGITS];
    let mut first = digits.len();
    loop {
        first -= 1;
        digits[first] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    out.extend_from_slice(&digits[first..]);
}
