package org.cactuspulley.core.routing

/** Returns a hash of [value]: the 64-bit finalizer of MurmurHash3, which maps similar values to unrelated results. */
internal fun mixBits(value: Long): Long {
    var mixed = value
    mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
    mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
    return mixed xor (mixed ushr 33)
}
