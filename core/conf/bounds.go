package conf

// HeadBytesMax bounds the heads of the answers that programs read from each other, from backend servers
// and from the platform, in bytes.
const HeadBytesMax = 64 << 10
