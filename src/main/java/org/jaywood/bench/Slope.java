package org.jaywood.bench;

import java.util.List;
import java.util.Locale;

/**
 * Line fitted to measured points by the method of least squares.
 *
 * @param intercept value at size 0
 * @param perUnit increase for each unit of size
 * @param fit coefficient of determination, 1 for a perfect line
 */
public record Slope(double intercept, double perUnit, double fit) {

	/**
	 * Fits a line.
	 * @param points at least three points of different sizes
	 */
	public static Slope fit(List<Point> points) {
		if (points.stream().mapToDouble(Point::size).distinct().count() < 3) {
			throw new IllegalArgumentException("a slope needs at least three different sizes: " + points);
		}
		double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
		double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
		double sizeSquares = points.stream().mapToDouble((point) -> square(point.size() - meanSize)).sum();
		double products = points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		double perUnit = products / sizeSquares;
		double intercept = meanValue - perUnit * meanSize;
		double valueSquares = points.stream().mapToDouble((point) -> square(point.value() - meanValue)).sum();
		double residuals = points.stream()
			.mapToDouble((point) -> square(point.value() - intercept - perUnit * point.size()))
			.sum();
		return new Slope(intercept, perUnit, (valueSquares > 0) ? 1 - residuals / valueSquares : 1);
	}

	/**
	 * Returns the value of the line at a size.
	 */
	public double at(double size) {
		return this.intercept + this.perUnit * size;
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "%.6g + %.6g x (fit %.3f)", this.intercept, this.perUnit, this.fit);
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * A measured value at a size.
	 */
	public record Point(double size, double value) {
	}

}
