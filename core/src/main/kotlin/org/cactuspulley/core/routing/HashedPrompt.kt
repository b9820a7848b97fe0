package org.cactuspulley.core.routing

import org.cactuspulley.core.requests.PromptPiece

/** The full pieces of a prompt and their chained hashes within one cache scope. Only full pieces are ever cached. */
internal class HashedPrompt(scope: String, prompt: List<PromptPiece>) {
    private val fullPieces = if (scope.isEmpty()) emptyList() else prompt.filter { it.tokens >= PIECE_TOKENS }

    /** The number of tokens of the whole prompt, including a partial last piece. */
    val totalTokens: Int = prompt.sumOf { it.tokens }

    /** The chained hashes of the full pieces, in order. */
    val hashes: LongArray = chainHashes(scope, fullPieces)

    /** The numbers of tokens of the full pieces, in order. */
    val pieceTokens: IntArray = IntArray(fullPieces.size) { fullPieces[it].tokens }

    /** Returns the number of tokens in the first [pieces] full pieces. */
    fun leadingTokens(pieces: Int): Int = (0 until pieces).sumOf { pieceTokens[it] }

    /** Returns the number of leading full pieces that the first [cachedTokens] tokens contain. */
    fun leadingPieces(cachedTokens: Int): Int {
        var sum = 0
        val beyond = pieceTokens.indexOfFirst { piece ->
            sum += piece
            sum > cachedTokens
        }
        return if (beyond < 0) pieceTokens.size else beyond
    }
}
