package org.cactuspulley.core.routing

import org.cactuspulley.core.requests.PromptPiece

/** A prompt's fullPieces pieces with their chained hashes within one scope; only fullPieces pieces are ever cached. */
internal class HashedPrompt(scope: String, prompt: List<PromptPiece>) {
    private val fullPieces = if (scope.isEmpty()) emptyList() else prompt.filter { it.tokens >= PIECE_TOKENS }

    val totalTokens: Int = prompt.sumOf { it.tokens }
    val hashes: LongArray = chainHashes(scope, fullPieces)
    val pieceTokens: IntArray = IntArray(fullPieces.size) { fullPieces[it].tokens }

    /** The number of tokens of the first [pieces] pieces. */
    fun leadingTokens(pieces: Int): Int = (0 until pieces).sumOf { pieceTokens[it] }

    /** The number of leading pieces that [cachedTokens] cover. */
    fun leadingPieces(cachedTokens: Int): Int {
        var sum = 0
        val beyond = pieceTokens.indexOfFirst { piece ->
            sum += piece
            sum > cachedTokens
        }
        return if (beyond < 0) pieceTokens.size else beyond
    }
}
