/** Layout of a frame: length, checksum of the length, checksum of the body, body. All numbers are unsigned 32-bit little-endian integers. */
export const FRAME_LAYOUT = {
	LengthOffset: 0,
	LengthChecksumOffset: 4,
	BodyChecksumOffset: 8,
	HeaderBytes: 12,
} as const;
