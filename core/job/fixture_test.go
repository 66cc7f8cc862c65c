package job

const gigabyte = 1 << 30
